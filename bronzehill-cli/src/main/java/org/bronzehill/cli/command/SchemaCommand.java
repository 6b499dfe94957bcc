package org.bronzehill.cli.command;

import com.github.rvesse.airline.annotations.Command;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Callable;
import org.bronzehill.cli.ExitStatus;
import org.bronzehill.cli.internal.Output;
import org.bronzehill.config.Configuration;

/** Prints the JSON schema of declarations, for use in editors. */
@Command(name = "schema", description = "Prints the JSON schema of declarations")
public final class SchemaCommand implements Callable<ExitStatus> {

    @Override
    public ExitStatus call() throws IOException {
        try (InputStream in = Configuration.class.getResourceAsStream("declaration.schema.json")) {
            Output.line(new String(in.readAllBytes(), StandardCharsets.UTF_8).stripTrailing());
        }
        return ExitStatus.OK;
    }
}
