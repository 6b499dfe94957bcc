package org.bronzehill.cli.command;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import org.bronzehill.cli.ExitStatus;
import org.bronzehill.cli.internal.Output;
import org.bronzehill.config.Configuration;
import org.bronzehill.config.DeclarationReader;
import org.bronzehill.config.Problem;
import org.bronzehill.core.result.ResultCode;

/** Checks a declaration and lists every error with its line and field. */
@Command(name = "check", description = "Checks a declaration and lists all errors")
public final class CheckCommand implements Callable<ExitStatus> {

    @Arguments(title = "FILE", description = "Declaration in YAML")
    @Required
    private String file;

    @Override
    public ExitStatus call() throws IOException {
        Either<List<Problem>, Configuration> read =
                DeclarationReader.read(file, Files.readString(Path.of(file)));
        if (read.isLeft()) {
            Output.problems(ResultCode.INVALID_DECLARATION, read.getLeft());
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
                        + " members");
        return ExitStatus.OK;
    }
}
