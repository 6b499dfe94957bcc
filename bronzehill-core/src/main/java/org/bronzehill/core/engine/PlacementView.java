package org.bronzehill.core.engine;

import io.vavr.control.Option;
import org.bronzehill.core.model.AdapterVersion;

/** What a scheduler needs to know about the other engines of the region. */
public interface PlacementView {

    /** View of an engine that knows of no other. */
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

    /** Returns on how many other engines that take work the adapter version is resident. */
    int residentElsewhere(AdapterVersion adapter, String engine);

    /** Returns an engine with room for the request, other than {@code engine}. */
    Option<String> alternativeEngine(EngineRequest request, String engine);
}
