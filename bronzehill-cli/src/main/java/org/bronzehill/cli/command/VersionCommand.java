package org.bronzehill.cli.command;

import com.github.rvesse.airline.annotations.Command;
import java.util.concurrent.Callable;
import org.bronzehill.cli.ExitStatus;
import org.bronzehill.cli.internal.Output;

/** Prints the version. */
@Command(name = "version", description = "Prints the version")
public final class VersionCommand implements Callable<ExitStatus> {

    private static final String VERSION = "0.1.0";

    @Override
    public ExitStatus call() {
        Output.line("bronzehill " + VERSION);
        return ExitStatus.OK;
    }
}
