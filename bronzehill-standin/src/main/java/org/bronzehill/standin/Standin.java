package org.bronzehill.standin;

import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import org.bronzehill.standin.internal.ApplicationRunner;
import org.bronzehill.standin.internal.ConfigurationService;
import org.bronzehill.standin.internal.Engine;
import org.bronzehill.standin.internal.InstanceListService;
import org.bronzehill.standin.internal.Json;
import org.bronzehill.standin.internal.StandinService;
import org.bronzehill.standin.internal.WeightStore;

/** Services of all roles that run in one stand-in process. */
public final class Standin implements AutoCloseable {

    private final List<StandinService> services = new ArrayList<>();
    private final List<Integer> ports = new ArrayList<>();

    private Standin() {}

    /** Starts the service of each configured role. */
    public static Standin start(Settings settings) throws IOException, InterruptedException {
        Standin standin = new Standin();
        int port = settings.port();
        for (Role role : settings.roles()) {
            StandinService service = create(role, settings, settings.idOf(role));
            standin.services.add(service);
            standin.ports.add(service.listen(settings.host(), port).port());
            port = port == 0 ? 0 : port + 1;
        }
        return standin;
    }

    private static StandinService create(Role role, Settings s, String id) throws IOException {
        return switch (role) {
            case ENGINE ->
                    Engine.create(
                            new Engine.EngineOptions(
                                    id,
                                    s.engine(),
                                    s.checksFencing(),
                                    s.reportLagMs(),
                                    s.gapEvery(),
                                    s.store()));
            case WEIGHT_STORE -> WeightStore.create(id, s.storeParameters());
            case CONFIGURATION -> {
                ConfigurationService service = ConfigurationService.create(id);
                if (s.directory() != null) {
                    service.publish(s.directory());
                }
                yield service;
            }
            case INSTANCE_LIST -> {
                InstanceListService list = InstanceListService.create(id, s.listLagMs());
                if (s.listFile() != null) {
                    list.load(Json.parse(Files.readAllBytes(s.listFile())));
                }
                yield list;
            }
            case APPLICATION_RUNNER -> ApplicationRunner.create(id, s.services(), s.siblings());
        };
    }

    /** Returns the port of each role, in the order of the settings. */
    public List<Integer> ports() {
        return List.copyOf(ports);
    }

    @Override
    public void close() {
        services.forEach(StandinService::close);
    }
}
