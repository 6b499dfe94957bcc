package org.bronzehill.cli;

import com.github.rvesse.airline.annotations.Cli;
import com.github.rvesse.airline.annotations.Group;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.nio.file.NoSuchFileException;
import java.util.concurrent.Callable;
import org.bronzehill.cli.command.CheckCommand;
import org.bronzehill.cli.command.ExperimentCommand;
import org.bronzehill.cli.command.ExplainCommand;
import org.bronzehill.cli.command.ExportCommand;
import org.bronzehill.cli.command.GenerateCommand;
import org.bronzehill.cli.command.PatchCommand;
import org.bronzehill.cli.command.ProvenanceCommand;
import org.bronzehill.cli.command.ReplayCommand;
import org.bronzehill.cli.command.SchemaCommand;
import org.bronzehill.cli.command.StatusCommand;
import org.bronzehill.cli.command.VersionCommand;

/** Entry point of the {@code bronzehill} command-line program. */
@Cli(
        name = "bronzehill",
        description =
                "Checks and patches declarations, inspects instances, generates and replays traces.",
        defaultCommand = Help.class,
        commands = {
            Help.class,
            VersionCommand.class,
            PatchCommand.class,
            StatusCommand.class,
            ExplainCommand.class,
            ProvenanceCommand.class,
            ReplayCommand.class,
            ExperimentCommand.class,
            GenerateCommand.class
        },
        groups = {
            @Group(
                    name = "config",
                    description = "Declarations",
                    defaultCommand = CheckCommand.class,
                    commands = {CheckCommand.class, ExportCommand.class, SchemaCommand.class})
        })
public final class CliMain {

    /** Exit status for a command line that cannot be parsed; EX_USAGE of sysexits.h. */
    static final int USAGE_ERROR = 64;

    private CliMain() {}

    /** Runs one command and exits with its status. */
    public static void main(String[] args) {
        System.exit(run(args));
    }

    /** Runs one command and returns its exit status. */
    public static int run(String... args) {
        Object command;
        try {
            command =
                    new com.github.rvesse.airline.Cli<Object>(CliMain.class)
                            .parse(replaceHelpAndVersionOptions(args));
        } catch (ParseException e) {
            System.err.println("bronzehill: " + e.getMessage());
            System.err.println("Run 'bronzehill help' for a list of commands and options.");
            return USAGE_ERROR;
        }
        return execute(command);
    }

    /** Replaces {@code --version} and {@code COMMAND --help} by the equivalent commands. */
    private static String[] replaceHelpAndVersionOptions(String... args) {
        if (args.length == 1 && args[0].equals("--version")) {
            return new String[] {"version"};
        }
        int last = args.length - 1;
        if (last < 0 || !args[last].equals("--help")) {
            return args;
        }
        String[] help = new String[args.length];
        help[0] = "help";
        System.arraycopy(args, 0, help, 1, last);
        return help;
    }

    private static int execute(Object command) {
        if (command instanceof Runnable help) {
            help.run();
            return 0;
        }
        try {
            return ((ExitStatus) ((Callable<?>) command).call()).code();
        } catch (NoSuchFileException e) {
            // Airline parses an unknown option as an argument, so that it arrives here as a file
            // name.
            if (e.getFile().startsWith("-")) {
                System.err.println("bronzehill: unknown option " + e.getFile());
                return USAGE_ERROR;
            }
            System.err.println("bronzehill: the file " + e.getFile() + " does not exist");
            return ExitStatus.FAILED.code();
        } catch (Exception e) {
            System.err.println("bronzehill: " + e.getMessage());
            return ExitStatus.FAILED.code();
        }
    }
}
