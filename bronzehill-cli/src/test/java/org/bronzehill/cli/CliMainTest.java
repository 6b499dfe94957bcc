package org.bronzehill.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.bronzehill.config.ImageDirectory;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests commands on files and the exit status of failures. */
public class CliMainTest {

    private static final String DECLARATION =
            """
            number: 3
            baseModels: [base]
            kinds: {chat: {urgency: interactive, deadline: 2s}}
            members: {creamery: {kinds: [chat], groups: [g], callers: {}}}
            adapters: {a: {baseModel: base, group: g, versions: {1: w/a/1}, pins: {chat: 1}}}
            """;

    private Path directory;
    private Path declaration;

    @BeforeMethod
    public void writeDeclaration() throws IOException {
        directory = Files.createTempDirectory("cli");
        declaration = Files.writeString(directory.resolve("d.yaml"), DECLARATION);
    }

    private Path patch(String text) throws IOException {
        return Files.writeString(directory.resolve("p.yaml"), text);
    }

    private int applyPatch(String text, Path output) throws IOException {
        return CliMain.run(
                "patch",
                "--declaration",
                declaration.toString(),
                "--patch",
                patch(text).toString(),
                "--output",
                output.toString());
    }

    @Test(description = "guards against a wrong exit status for valid and invalid declarations")
    public void checkDistinguishesValidFromInvalid() throws IOException {
        assertEquals(CliMain.run("config", "check", declaration.toString()), 0);
        Files.writeString(declaration, DECLARATION.replace("2s", "soon"));
        assertEquals(
                CliMain.run("config", "check", declaration.toString()), ExitStatus.INVALID.code());
    }

    @Test(description = "guards against a stale patch that is written or changes the declaration")
    public void stalePatchChangesNothing() throws IOException {
        Path output = directory.resolve("next.yaml");
        int status = applyPatch("base: 2\nchange: {baseModels: [base, other]}\n", output);
        assertEquals(status, ExitStatus.STALE.code());
        assertFalse(Files.exists(output));
        assertEquals(Files.readString(declaration), DECLARATION);
    }

    @Test(description = "guards against an accepted patch that is not written")
    public void acceptedPatchIsWritten() throws IOException {
        int status = applyPatch("base: 3\nchange: {baseModels: [base, other]}\n", declaration);
        assertEquals(status, 0);
        assertTrue(Files.readString(declaration).contains("number: 4"));
    }

    @Test(description = "guards against an exported directory that cannot be read back")
    public void exportWritesReadableImage() throws IOException {
        Path target = directory.resolve("published");
        int status =
                CliMain.run(
                        "config",
                        "export",
                        declaration.toString(),
                        "--directory",
                        target.toString());
        assertEquals(status, 0);
        assertEquals(ImageDirectory.read(target).number(), 3);
    }

    @Test(
            description =
                    "guards against a search that misses a record or finds one for an unknown id")
    public void provenanceFindsRecord() throws IOException {
        Path log = directory.resolve("entry.log");
        Files.writeString(
                log,
                "starting\n{\"requestId\":\"r-1\",\"adapter\":\"a\",\"version\":1}\n"
                        + "{\"requestId\":\"r-11\",\"adapter\":\"b\",\"version\":2}\n");
        assertEquals(CliMain.run("provenance", "--request", "r-1", log.toString()), 0);
        assertEquals(
                CliMain.run("provenance", "--request", "r-2", log.toString()),
                ExitStatus.NOT_AS_EXPECTED.code());
    }

    @Test(description = "guards against unknown or missing options that are accepted")
    public void rejectsUnknownAndMissingOptions() {
        assertEquals(CliMain.run("config", "check", "--nothing"), CliMain.USAGE_ERROR);
        assertEquals(CliMain.run("patch"), CliMain.USAGE_ERROR);
        assertEquals(CliMain.run("--version"), 0);
        assertEquals(CliMain.run("--help"), 0);
        assertEquals(CliMain.run("config", "check", "--help"), 0);
        assertEquals(CliMain.run("config", "schema"), 0);
    }

    @Test(description = "guards against a stack trace when an instance is down")
    public void reportsUnreachableInstance() {
        assertEquals(
                CliMain.run("status", "--instance", "http://127.0.0.1:1"),
                ExitStatus.FAILED.code());
    }
}
