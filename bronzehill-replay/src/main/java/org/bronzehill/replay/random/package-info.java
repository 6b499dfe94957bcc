/** Random fault schedules from seeds, and shortening of failing ones. */
package org.bronzehill.replay.random;
