package org.bronzehill.core.result;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.testng.annotations.Test;

/** Numbers and documentation of result codes. */
public class ResultCodeTest {

    private static final Path TABLE = Path.of("..", "docs", "result-codes.md");

    @Test(description = "guards against a code that the documentation lacks or describes wrongly")
    public void documentationListsEveryCode() throws IOException {
        List<String> rows =
                Files.readAllLines(TABLE).stream().filter(l -> l.matches("\\| \\d.*")).toList();
        assertEquals(rows.size(), ResultCode.values().length);
        for (ResultCode c : ResultCode.values()) {
            String start =
                    "| "
                            + c.number()
                            + " | "
                            + c
                            + " | "
                            + c.httpStatus()
                            + " | "
                            + state(c)
                            + " |";
            assertTrue(rows.stream().anyMatch(r -> r.startsWith(start)), "missing: " + start);
        }
    }

    private static String state(ResultCode code) {
        String words = code.runState().name().toLowerCase(Locale.ROOT).replace('_', ' ');
        return words.startsWith("may") ? words : "has " + words;
    }

    @Test(description = "guards against two codes with one number")
    public void numbersAreUnique() {
        Set<Integer> numbers =
                Stream.of(ResultCode.values()).map(ResultCode::number).collect(Collectors.toSet());
        assertEquals(numbers.size(), ResultCode.values().length);
        assertEquals(ResultCode.ofNumber(5004), ResultCode.ACT_MAY_HAVE_RUN);
    }
}
