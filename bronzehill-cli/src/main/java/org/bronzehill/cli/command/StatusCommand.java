package org.bronzehill.cli.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.concurrent.Callable;
import org.bronzehill.cli.ExitStatus;
import org.bronzehill.cli.internal.InstanceClient;
import org.bronzehill.cli.internal.Output;
import org.bronzehill.cli.internal.StatusReport;
import org.bronzehill.core.result.ResultCode;

/** Shows the status of an instance, and its peers and upstreams as this instance sees them. */
@Command(
        name = "status",
        description =
                "Shows the status of an instance, and its peers and upstreams as it sees them")
public final class StatusCommand implements Callable<ExitStatus> {

    @Option(name = "--instance", description = "Base URI, such as http://127.0.0.1:8080")
    @Required
    private String instance;

    @Option(name = "--json", description = "Print the status as JSON")
    private boolean json;

    @Override
    public ExitStatus call() throws IOException {
        Either<String, JsonNode> status = InstanceClient.of(instance).get("/status");
        if (status.isLeft()) {
            Output.error(ResultCode.UNREACHABLE_INSTANCE, status.getLeft());
            return ExitStatus.FAILED;
        }
        if (json) {
            Output.line(status.get().toPrettyString());
        } else {
            StatusReport.lines(status.get()).forEach(Output::line);
        }
        return ExitStatus.OK;
    }
}
