package org.bronzehill.cli.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.concurrent.Callable;
import org.bronzehill.cli.ExitStatus;
import org.bronzehill.cli.internal.InstanceClient;
import org.bronzehill.cli.internal.Output;
import org.bronzehill.core.result.ResultCode;

/** Shows how an instance would currently route a request. */
@Command(name = "explain", description = "Shows how an instance would route a request")
public final class ExplainCommand implements Callable<ExitStatus> {

    @Option(name = "--instance", description = "Base URI, such as http://127.0.0.1:8080")
    @Required
    private String instance;

    @Option(name = "--kind", description = "Kind of request")
    @Required
    private String kind;

    @Option(name = "--adapter", description = "Adapter of the request")
    @Required
    private String adapter;

    @Option(
            name = "--token",
            description = "Bearer token of the caller; by default the value of BRONZEHILL_TOKEN")
    private String token;

    @Override
    public ExitStatus call() throws IOException {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.put("kind", kind).put("model", adapter);
        String bearer =
                token != null ? token : System.getenv().getOrDefault("BRONZEHILL_TOKEN", "");
        Either<String, JsonNode> answer =
                InstanceClient.of(instance).post("/explain", body, bearer);
        if (answer.isLeft()) {
            Output.error(ResultCode.UNREACHABLE_INSTANCE, answer.getLeft());
            return ExitStatus.FAILED;
        }
        Output.line(answer.get().toPrettyString());
        return ExitStatus.OK;
    }
}
