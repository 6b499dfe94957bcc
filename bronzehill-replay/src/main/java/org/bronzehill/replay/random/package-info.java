/** Randomized fault schedules with fixed seeds, and shortening of failing ones. */
package org.bronzehill.replay.random;
