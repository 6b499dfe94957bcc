package org.bronzehill.entry;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.parser.errors.ParseException;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.bronzehill.core.result.ResultCode;
import org.bronzehill.entry.settings.EntryFlags;
import org.bronzehill.entry.settings.ProgramSettings;
import org.bronzehill.entry.telemetry.Logs;

/** Program {@code bronzehill-entry}. */
public final class EntryMain {

    private static final String NAME = "bronzehill-entry";
    private static final String VERSION = "0.1.0";
    private static final int EXIT_INVALID_SETTINGS = 2;

    private EntryMain() {}

    /** Runs the program. */
    public static void main(String[] args) {
        Logs.selectManager();
        EntryFlags flags;
        try {
            flags = SingleCommand.singleCommand(EntryFlags.class).parse(args);
        } catch (ParseException e) {
            reject(List.of(e.getMessage()));
            return;
        }
        if (flags.showHelpIfRequested()) {
            return;
        }
        if (flags.version()) {
            System.out.println(NAME + ' ' + VERSION);
            return;
        }
        run(flags.values(), System.getenv());
    }

    private static void run(Map<String, String> flags, Map<String, String> environment) {
        Either<List<String>, ProgramSettings> settings = ProgramSettings.read(flags, environment);
        if (settings.isLeft()) {
            reject(settings.getLeft());
            return;
        }
        Logs.install(settings.get().logLevel());
        EntryProcess process;
        try {
            process = EntryProcess.start(settings.get());
        } catch (IOException e) {
            reject(
                    List.of(
                            "cannot open the file of --record-trace or bind the port of"
                                    + " --peer-port: "
                                    + e.getMessage()));
            return;
        }
        Runtime.getRuntime().addShutdownHook(new Thread(process::shutDown, "shutdown"));
        process.whenDrained().thenRun(() -> new Thread(() -> System.exit(0), "exit").start());
    }

    private static void reject(List<String> errors) {
        ResultCode code = ResultCode.INVALID_SETTINGS;
        System.err.println(NAME + ": error " + code.number() + ": " + code.summary());
        errors.forEach(e -> System.err.println("  " + e));
        System.exit(EXIT_INVALID_SETTINGS);
    }
}
