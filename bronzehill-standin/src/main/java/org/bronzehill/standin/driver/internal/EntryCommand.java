package org.bronzehill.standin.driver.internal;

import java.net.URI;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** Settings of an entry instance and the command that starts it. */
record EntryCommand(
        String id,
        String host,
        int httpPort,
        int peerPort,
        String dataCentre,
        String region,
        URI configuration,
        URI instanceList) {

    URI uri() {
        return URI.create("http://" + host + ':' + httpPort);
    }

    List<String> command(Path root) {
        return List.of(
                root.resolve("bin/bronzehill-entry").toString(),
                "--id",
                id,
                "--host",
                host,
                "--http-port",
                Integer.toString(httpPort),
                "--peer-port",
                Integer.toString(peerPort),
                "--data-centre",
                dataCentre,
                "--region",
                region,
                "--configuration-uri",
                configuration.toString(),
                "--instance-list-uri",
                instanceList.toString());
    }

    /** Returns the instance's entry in the published instance list. */
    Map<String, Object> listEntry() {
        return Map.of(
                "id", id,
                "host", host,
                "port", peerPort,
                "dataCentre", dataCentre,
                "region", region,
                "state", "live");
    }
}
