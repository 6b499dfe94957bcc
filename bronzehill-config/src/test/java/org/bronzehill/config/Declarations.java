package org.bronzehill.config;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Declarations and configurations for the tests of this package. */
final class Declarations {

    static final String VALID =
            """
            number: 7
            baseModels: [base-7b]
            policy:
              loadStallWeight: 1.0
              ownershipScope: data-centre
            kinds:
              route-chat:
                urgency: interactive
                deadline: 2s
                weight: 4
              pickup-confirmation:
                urgency: prompt
                deadline: 3s
                onceOnly: true
                service: pickups
            members:
              creamery:
                share: 2
                kinds: [route-chat, pickup-confirmation]
                groups: [routes]
                callers:
                  tablet-1: 9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08
            adapters:
              goat-route-1:
                baseModel: base-7b
                group: routes
                versions:
                  1: weights/goat-route-1/1
                  2: weights/goat-route-1/2
                pins:
                  route-chat: 2
                  "*": 1
            """;

    private Declarations() {}

    static Configuration valid() {
        Either<List<Problem>, Configuration> read = DeclarationReader.read("valid.yaml", VALID);
        return read.getOrElseThrow(() -> new AssertionError(read.getLeft()));
    }

    static Configuration withAdapters(long number, int count) {
        List<AdapterSpec> adapters = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            adapters.add(adapter("adapter-" + i, 1));
        }
        return Configuration.of(number, valid().base(), adapters);
    }

    static AdapterSpec adapter(String name, int version) {
        return new AdapterSpec(
                name,
                "base-7b",
                "routes",
                Map.of(version, "weights/" + name + '/' + version),
                Map.of(AdapterSpec.ANY_KIND, version));
    }
}
