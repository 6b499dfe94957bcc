package org.bronzehill.cli.internal;

import io.vavr.control.Option;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.bronzehill.config.Configuration;
import org.bronzehill.config.DeclarationReader;
import org.bronzehill.core.result.ResultCode;

/** Reads declarations for commands. */
public final class DeclarationFile {

    private DeclarationFile() {}

    /** Reads a declaration; prints all errors and returns none if it is invalid. */
    public static Option<Configuration> read(String file) throws IOException {
        return DeclarationReader.read(file, Files.readString(Path.of(file)))
                .peekLeft(problems -> Output.problems(ResultCode.INVALID_DECLARATION, problems))
                .toOption();
    }
}
