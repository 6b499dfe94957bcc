package org.bronzehill.core.engine;

import io.vavr.control.Option;
import org.bronzehill.core.model.AdapterVersion;

/** Information about the other engines of the region that a scheduler uses. */
public interface PlacementView {

    /** View without any other engine. */
    PlacementView NONE =
            new PlacementView() {
                @Override
                public int residentElsewhere(AdapterVersion adapter, String engine) {
                    return 0;
                }

                @Override
                public Option<String> alternativeEngine(EngineRequest request, String engine) {
                    return Option.none();
                }
            };

    /**
     * Returns the number of other engines that accept work and on which the adapter version is
     * resident.
     */
    int residentElsewhere(AdapterVersion adapter, String engine);

    /** Returns an engine other than {@code engine} that has room for the request. */
    Option<String> alternativeEngine(EngineRequest request, String engine);
}
