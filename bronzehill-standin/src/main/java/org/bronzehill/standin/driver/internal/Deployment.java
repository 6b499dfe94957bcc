package org.bronzehill.standin.driver.internal;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.bronzehill.config.Configuration;
import org.bronzehill.config.ImageCodec;
import org.bronzehill.config.ImageDirectory;
import org.bronzehill.standin.Profile;
import org.bronzehill.standin.Role;
import org.bronzehill.standin.internal.Json;

/** Stand-ins and entry instances of a deployment as processes on loopback. */
public final class Deployment {

    /** Region of every process. */
    public static final String REGION = "north";

    private static final String HOST = "127.0.0.1";
    private static final long FIRST_CONFIGURATION_NUMBER = 100;

    private final Profile profile;
    private final Path root;
    private final Path directory;
    private final Fleet fleet;
    private final ControlClient control = ControlClient.create();
    private final Map<String, StandinProcess> standins = new LinkedHashMap<>();
    private final Map<String, EntryProcess> entries = new LinkedHashMap<>();
    private final Ports ports = Ports.create();
    private Configuration declaration;

    /** Stand-in process with the command that starts it. */
    private static final class StandinProcess {
        final List<String> command;
        final URI uri;
        ManagedProcess process;

        StandinProcess(List<String> command, URI uri) {
            this.command = command;
            this.uri = uri;
        }
    }

    /** Entry instance with the command that starts it. */
    private static final class EntryProcess {
        final EntryCommand command;
        ManagedProcess process;
        int starts;

        EntryProcess(EntryCommand command) {
            this.command = command;
        }
    }

    private Deployment(Profile profile, Path root, Path directory, Fleet fleet) {
        this.profile = profile;
        this.root = root;
        this.directory = directory;
        this.fleet = fleet;
    }

    /**
     * Starts the stand-ins of a profile. The instance list contains {@code instances} entry
     * instances, which are not started yet.
     */
    public static Deployment start(
            Profile profile, Path root, Path directory, Fleet fleet, int instances, long seed)
            throws IOException, InterruptedException {
        Deployment d = new Deployment(profile, root, directory, fleet);
        d.declaration = Declarations.create(profile, FIRST_CONFIGURATION_NUMBER, seed);
        d.writeDeclaration(d.declaration);
        d.planSharedServicesAndEntries(instances);
        d.planUpstreams();
        d.writeInstanceList();
        for (String name : d.standins.keySet()) {
            d.startStandin(name);
        }
        for (String name : d.standins.keySet()) {
            d.awaitStandin(name);
        }
        return d;
    }

    private void planSharedServicesAndEntries(int instances) throws IOException {
        plan("store", Role.WEIGHT_STORE, List.of());
        plan(
                "configuration",
                Role.CONFIGURATION,
                List.of(
                        "--directory",
                        declarationDirectory(FIRST_CONFIGURATION_NUMBER).toString()));
        plan(
                "list",
                Role.INSTANCE_LIST,
                List.of("--list-file", listFile().toString(), "--list-lag-ms", "500"));
        for (int i = 1; i <= instances; i++) {
            String id = "entry-" + i;
            entries.put(
                    id,
                    new EntryProcess(
                            new EntryCommand(
                                    id,
                                    HOST,
                                    ports.allocate(),
                                    ports.allocate(),
                                    dataCentre(i),
                                    REGION,
                                    uri("configuration"),
                                    uri("list"))));
        }
    }

    private void planUpstreams() throws IOException {
        for (int i = 1; i <= profile.engines(); i++) {
            List<String> flags = new ArrayList<>(List.of("--store-uri", uri("store").toString()));
            // Every fourth engine ignores fencing numbers, as some real engines do.
            flags.addAll(List.of("--checks-fencing", Boolean.toString(i % 4 != 0)));
            plan("engine-" + i, Role.ENGINE, flags);
        }
        List<Integer> runnerPorts = new ArrayList<>();
        for (int i = 0; i < profile.runners(); i++) {
            runnerPorts.add(ports.allocate());
        }
        for (int i = 0; i < profile.runners(); i++) {
            int own = runnerPorts.get(i);
            String siblings =
                    String.join(
                            ",",
                            runnerPorts.stream()
                                    .filter(p -> p != own)
                                    .map(p -> "http://" + HOST + ':' + p)
                                    .toList());
            plan(
                    "runner-" + (i + 1),
                    Role.APPLICATION_RUNNER,
                    own,
                    List.of("--siblings", siblings));
        }
    }

    private void plan(String name, Role role, List<String> flags) throws IOException {
        plan(name, role, ports.allocate(), flags);
    }

    private void plan(String name, Role role, int port, List<String> flags) {
        List<String> command =
                new ArrayList<>(
                        List.of(
                                root.resolve("bin/bronzehill-standin").toString(),
                                "--role",
                                role.label(),
                                "--id",
                                name,
                                "--port",
                                Integer.toString(port),
                                "--profile",
                                profile.label()));
        command.addAll(flags);
        standins.put(name, new StandinProcess(command, URI.create("http://" + HOST + ':' + port)));
    }

    private String dataCentre(int i) {
        return "dc-" + (1 + (i - 1) % profile.dataCentres());
    }

    private Path listFile() {
        return directory.resolve("list.json").toAbsolutePath();
    }

    private Path declarationDirectory(long number) {
        return directory.resolve("declaration-" + number).toAbsolutePath();
    }

    private void writeDeclaration(Configuration configuration) throws IOException {
        ImageDirectory.write(
                ImageCodec.encode(configuration), declarationDirectory(configuration.number()));
    }

    private void writeInstanceList() throws IOException {
        List<Map<String, Object>> instances = new ArrayList<>();
        entries.values().forEach(e -> instances.add(e.command.listEntry()));
        List<Map<String, Object>> upstreams = new ArrayList<>();
        for (int i = 1; i <= profile.engines(); i++) {
            upstreams.add(
                    Map.of(
                            "id",
                            "engine-" + i,
                            "kind",
                            "engine",
                            "uri",
                            uri("engine-" + i).toString(),
                            "dataCentre",
                            dataCentre(i),
                            "region",
                            REGION,
                            "state",
                            "live",
                            "baseModel",
                            Declarations.BASE_MODEL,
                            "adapterSlots",
                            profile.engine().adapterSlots(),
                            "batchSize",
                            profile.engine().batchSize(),
                            "checksFencing",
                            i % 4 != 0));
        }
        for (int i = 1; i <= profile.runners(); i++) {
            upstreams.add(
                    Map.of(
                            "id",
                            "runner-" + i,
                            "kind",
                            "application-runner",
                            "uri",
                            uri("runner-" + i).toString(),
                            "dataCentre",
                            dataCentre(i),
                            "region",
                            REGION,
                            "state",
                            "live",
                            "services",
                            profile.services()));
        }
        Files.write(
                listFile(),
                Json.bytes(Map.of("version", 1, "instances", instances, "upstreams", upstreams)));
    }

    /** Returns the base URI of a stand-in. */
    public URI uri(String standin) {
        return standins.get(standin).uri;
    }

    /** Starts or restarts a stand-in. */
    public void startStandin(String name) throws IOException {
        StandinProcess standin = standins.get(name);
        standin.process = fleet.start(name, standin.command, Map.of());
    }

    /** Waits until a stand-in responds to requests. */
    public void awaitStandin(String name) throws IOException, InterruptedException {
        for (int i = 0; i < 200; i++) {
            if (control.isReachable(uri(name), "/standin/faults")) {
                return;
            }
            if (!standins.get(name).process.isAlive()) {
                throw new IOException(
                        name + " exited before it responded; see its log in " + directory);
            }
            Thread.sleep(50);
        }
        throw new IOException(name + " did not respond in time");
    }

    /** Returns the process of a stand-in. */
    public ManagedProcess standin(String name) {
        return standins.get(name).process;
    }

    /** Starts or restarts an entry instance. */
    public void startEntry(String name) throws IOException {
        EntryProcess entry = entries.get(name);
        entry.starts++;
        entry.process = fleet.start(name, entry.command.command(root), Map.of());
    }

    /** Returns the process of an entry instance. */
    public ManagedProcess entry(String name) {
        return entries.get(name).process;
    }

    /** Returns a name of the current incarnation of an entry instance. */
    public String incarnation(String name) {
        return name + " start " + entries.get(name).starts;
    }

    /** Returns the base URI of an entry instance. */
    public URI entryUri(String name) {
        return entries.get(name).command.uri();
    }

    /** Returns the log file of an entry instance. */
    Path log(String entry) {
        return directory.resolve(entry + ".log");
    }

    public List<String> entryNames() {
        return List.copyOf(entries.keySet());
    }

    /** Returns the stand-ins whose names start with {@code prefix}. */
    public List<String> standinNames(String prefix) {
        return standins.keySet().stream().filter(n -> n.startsWith(prefix)).toList();
    }

    /** Reads the ledger of a stand-in. */
    public JsonNode ledger(String standin) throws IOException, InterruptedException {
        return control.get(uri(standin), "/standin/ledger");
    }

    /** Changes faults of a stand-in. */
    public void setFaults(String standin, Map<String, Object> faults)
            throws IOException, InterruptedException {
        control.put(uri(standin), "/standin/faults", faults);
    }

    /** Returns the newest published declaration. */
    public Configuration declaration() {
        return declaration;
    }

    /** Publishes and returns the next declaration. */
    public Configuration publishNext() throws IOException, InterruptedException {
        declaration = Declarations.next(declaration);
        writeDeclaration(declaration);
        control.post(
                uri("configuration"),
                "/standin/publish",
                Map.of("directory", declarationDirectory(declaration.number()).toString()));
        return declaration;
    }

    /**
     * Sets the state of an entry of the instance list, such as {@code upstreams/engine-1}, to
     * leaving or live.
     */
    public void setState(String entry, String state) throws IOException, InterruptedException {
        control.put(uri("list"), "/standin/list/" + entry, Map.of("state", state));
    }

    public ControlClient control() {
        return control;
    }

    /** Returns the directory for logs and declarations. */
    Path directory() {
        return directory;
    }

    public Profile profile() {
        return profile;
    }
}
