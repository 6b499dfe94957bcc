package org.bronzehill.cli.command;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.concurrent.Callable;
import org.bronzehill.cli.ExitStatus;
import org.bronzehill.cli.internal.Output;
import org.bronzehill.config.Patch;
import org.bronzehill.config.Patch.PatchedDeclaration;
import org.bronzehill.config.Patch.Rejection;
import org.bronzehill.config.Patch.RejectionReason;
import org.bronzehill.core.result.ResultCode;

/** Applies a patch to the current declaration if it was made for the current number. */
@Command(
        name = "patch",
        description =
                "Applies a patch to the current declaration and, with --output, writes the result")
public final class PatchCommand implements Callable<ExitStatus> {

    @Option(name = "--declaration", description = "Current declaration in YAML")
    @Required
    private String declaration;

    @Option(name = "--patch", description = "Patch with the fields 'base' and 'change'")
    @Required
    private String patch;

    @Option(
            name = "--output",
            description = "File for the next declaration; without it, the patch is only checked")
    private String output;

    @Override
    public ExitStatus call() throws IOException {
        Either<Rejection, PatchedDeclaration> applied =
                Patch.apply(
                        declaration,
                        Files.readString(Path.of(declaration)),
                        patch,
                        Files.readString(Path.of(patch)));
        if (applied.isLeft()) {
            return reject(applied.getLeft());
        }
        if (output != null) {
            replace(Path.of(output), applied.get().text());
        }
        Output.line(
                "accepted as number "
                        + applied.get().number()
                        + (output == null ? " (not written)" : ", written to " + output));
        return ExitStatus.OK;
    }

    private static ExitStatus reject(Rejection rejection) {
        boolean stale = rejection.reason() == RejectionReason.STALE;
        Output.problems(
                stale ? ResultCode.STALE_PATCH : ResultCode.INVALID_PATCH, rejection.problems());
        return stale ? ExitStatus.STALE : ExitStatus.INVALID;
    }

    /** Replaces the file atomically, so that an interrupted command leaves the old file intact. */
    private static void replace(Path target, String text) throws IOException {
        Path temporary = target.resolveSibling(target.getFileName() + ".tmp");
        Files.writeString(temporary, text);
        Files.move(
                temporary,
                target,
                StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
    }
}
