package org.bronzehill.cli.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import org.bronzehill.cli.ExitStatus;
import org.bronzehill.cli.internal.AuditSearch;
import org.bronzehill.cli.internal.AuditSearch.Match;
import org.bronzehill.cli.internal.Output;
import org.bronzehill.core.result.ResultCode;

/**
 * Shows, from audit records, which adapter version produced an answer and how the request was
 * routed.
 */
@Command(
        name = "provenance",
        description = "Shows, from audit records, which adapter version produced an answer")
public final class ProvenanceCommand implements Callable<ExitStatus> {

    @Option(name = "--request", description = "Request id from the headers of the answer")
    @Required
    private String request;

    @Arguments(title = "FILE", description = "Collected logs of entry instances")
    @Required
    private List<String> files;

    @Override
    public ExitStatus call() throws IOException {
        List<Match> matches = AuditSearch.find(request, files.stream().map(Path::of).toList());
        if (matches.isEmpty()) {
            Output.error(ResultCode.NO_RECORD, "request " + request + " not found in " + files);
            return ExitStatus.NOT_AS_EXPECTED;
        }
        for (Match m : matches) {
            Output.line(m.file() + ":" + m.line());
            JsonNode record = m.record();
            record.fields()
                    .forEachRemaining(e -> Output.line("  " + e.getKey() + ": " + e.getValue()));
        }
        return ExitStatus.OK;
    }
}
