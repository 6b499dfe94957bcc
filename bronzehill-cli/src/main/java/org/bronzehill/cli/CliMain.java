package org.bronzehill.cli;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.builder.CliBuilder;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.util.concurrent.Callable;

/** Program {@code bronzehill} for operators. */
public final class CliMain {

    private static final int USAGE_ERROR = 2;

    private CliMain() {}

    /** Runs one command and ends with its exit code. */
    public static void main(String[] args) throws Exception {
        System.exit(run(args));
    }

    static int run(String[] args) throws Exception {
        Object command;
        try {
            command = cli().parse(args);
        } catch (ParseException e) {
            System.err.println(e.getMessage());
            return USAGE_ERROR;
        }
        if (command instanceof Callable<?> c) {
            return (Integer) c.call();
        }
        ((Runnable) command).run();
        return 0;
    }

    private static Cli<Object> cli() {
        CliBuilder<Object> b = Cli.builder("bronzehill");
        b.withDescription("Operates and examines a bronzehill deployment");
        b.withDefaultCommand(Help.class);
        b.withCommands(Help.class, ReplayCommand.class, ExperimentCommand.class);
        b.withCommand(GenerateCommand.class);
        return b.build();
    }
}
