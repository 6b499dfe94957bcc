package org.bronzehill.cli.command;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.vavr.control.Option;
import java.io.IOException;
import java.util.concurrent.Callable;
import org.bronzehill.cli.ExitStatus;
import org.bronzehill.cli.internal.DeclarationFile;
import org.bronzehill.cli.internal.Output;
import org.bronzehill.config.Configuration;

/** Validates a declaration and lists all errors with line and field. */
@Command(name = "check", description = "Validates a declaration and lists all errors")
public final class CheckCommand implements Callable<ExitStatus> {

    @Arguments(title = "FILE", description = "Declaration in YAML")
    @Required
    private String file;

    @Override
    public ExitStatus call() throws IOException {
        Option<Configuration> read = DeclarationFile.read(file);
        if (read.isEmpty()) {
            return ExitStatus.INVALID;
        }
        Configuration c = read.get();
        Output.line(
                file
                        + ": number "
                        + c.number()
                        + ", "
                        + c.adapters().count()
                        + " adapters, "
                        + c.base().kinds().size()
                        + " kinds, "
                        + c.base().members().size()
                        + " teams");
        return ExitStatus.OK;
    }
}
