package org.bronzehill.cli.command;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.bronzehill.cli.ExitStatus;
import org.bronzehill.cli.internal.DeclarationFile;
import org.bronzehill.cli.internal.Output;
import org.bronzehill.config.Configuration;
import org.bronzehill.config.ConfigurationImage;
import org.bronzehill.config.ImageCodec;
import org.bronzehill.config.ImageDirectory;

/** Writes the manifest and shards of a declaration for the configuration service. */
@Command(
        name = "export",
        description = "Writes the manifest and shards of a declaration for publication")
public final class ExportCommand implements Callable<ExitStatus> {

    @Arguments(title = "FILE", description = "Declaration in YAML")
    @Required
    private String file;

    @Option(name = "--directory", description = "Directory for manifest.json and shards/")
    @Required
    private String directory;

    @Override
    public ExitStatus call() throws IOException {
        Configuration read = DeclarationFile.read(file).getOrNull();
        if (read == null) {
            return ExitStatus.INVALID;
        }
        ConfigurationImage image = ImageCodec.encode(read);
        ImageDirectory.write(image, Path.of(directory));
        Output.line(
                "number "
                        + image.number()
                        + ": "
                        + image.shards().size()
                        + " shards in "
                        + directory);
        return ExitStatus.OK;
    }
}
