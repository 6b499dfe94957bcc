package org.bronzehill.entry.relay;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
import org.bronzehill.core.node.Effect;
import org.bronzehill.core.result.ResultCode;

/** Error body of a request in the format that OpenAI client libraries parse. */
final class ErrorBody {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private ErrorBody() {}

    static String json(RequestInfo info, Effect.Answer answer) {
        ResultCode code = answer.code();
        String detail = answer.detail() == null ? "" : answer.detail();
        ObjectNode root = MAPPER.createObjectNode();
        ObjectNode error = root.putObject("error");
        error.put("message", detail.isEmpty() ? code.summary() : code.summary() + ": " + detail);
        error.put("type", type(code.httpStatus()));
        error.putNull("param");
        error.put("code", code.name().toLowerCase(Locale.ROOT));
        error.put("number", code.number());
        error.put("run_state", code.runState().name().toLowerCase(Locale.ROOT));
        error.put("resend", code.resend().name().toLowerCase(Locale.ROOT));
        error.put("request_id", info.requestId());
        return root.toString();
    }

    private static String type(int status) {
        return switch (status) {
            case 401 -> "authentication_error";
            case 403 -> "permission_error";
            case 404 -> "not_found_error";
            case 429 -> "rate_limit_error";
            default -> status < 500 ? "invalid_request_error" : "server_error";
        };
    }
}
