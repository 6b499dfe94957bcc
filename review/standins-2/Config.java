/** Configurations that the operator writes. */
final class Config {
    private Config() {}

    static String route(String prefix, String kind, String service, int timeoutMs, int targetMs) {
        return """
               {"name":"r-%1$s","host":"h.example","prefix":"/%1$s/","kind":"%2$s","timeoutMs":%4$d,
                "targetLatencyMs":%5$d,"priority":1,"service":"%3$s","maxAttempts":2,
                "sticky":true,"canResume":false,"gapAimMs":250}
               """
                .formatted(prefix, kind, service, timeoutMs, targetMs);
    }

    /**
     * @param adapterSlots places for adapters of an engine of the service "llm"
     */
    static String of(int version, int adapterSlots, int maxBodyBytes, String... routes) {
        return """
               {"version":%d,"routes":[%s],
                "services":[
                 {"name":"llm","healthPath":"/healthz","maxConns":370,"protocol":"h1","tls":false,
                  "engine":{"slots":64,"kvCapacityTokens":150000,"kvTokenBytes":1000,
                   "linkMbps":180000.0,"weightsMb":17000.0,"adapterSlots":%d,"loadsPerS":4.3,
                   "models":[{"name":"m0","weightsMb":16100.0,"loadTimeS":0.6,"adapters":3000,
                              "adapterMb":20.0}]}},
                 {"name":"app","healthPath":"/healthz","maxConns":110,"protocol":"h1","tls":false}],
                "limits":{"maxHeaderBytes":16384,"maxBodyBytes":%d,"headerTimeoutMs":3000,
                          "idleTimeoutMs":15000}}
               """
                .formatted(version, String.join(",", routes), adapterSlots, maxBodyBytes);
    }
}
