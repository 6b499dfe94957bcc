package org.bronzehill.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests parsing and validation of declarations. */
public class DeclarationReaderTest {

    @Test(description = "guards against fields that are misread")
    public void readsValidDeclaration() {
        Configuration c = Declarations.valid();

        assertEquals(c.number(), 7);
        assertEquals(c.policy().scope(), OwnershipScope.DATA_CENTRE);
        assertTrue(c.kind("pickup-confirmation").get().onceOnly());
        assertEquals(c.adapter("goat-route-1").get().versionFor("route-chat"), 2);
        assertEquals(c.adapter("goat-route-1").get().versionFor("pickup-confirmation"), 1);
        String hash = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08";
        assertEquals(c.caller(hash).get().team().name(), "creamery");
    }

    @DataProvider
    public Object[][] invalidEdits() {
        return new Object[][] {
            {"deadline: 2s", "deadline: soon", 9, "kinds.route-chat.deadline"},
            {"urgency: interactive", "urgency: high", 8, "kinds.route-chat.urgency"},
            {"weight: 4", "wieght: 4", 10, "kinds.route-chat.wieght"},
            {"route-chat: 2", "route-chat: 3", 31, "adapters.goat-route-1.pins"},
            {"service: pickups", "repeatable: true", 11, "kinds.pickup-confirmation.service"},
            {"number: 7", "number: 0", 1, "number"},
            {"share: 2", "share: [2]", 18, "members.creamery.share"},
            {"baseModel: base-7b", "baseModel: other", 25, "adapters.goat-route-1.baseModel"},
            {"share: 2", "share: 2\n    share: 3", 19, "members.creamery.share"},
        };
    }

    @Test(
            dataProvider = "invalidEdits",
            description = "guards against problems with a wrong line or field")
    public void reportsLineAndField(String from, String to, int line, String field) {
        String text = Declarations.VALID.replace(from, to);
        List<Problem> problems = DeclarationReader.read("d.yaml", text).getLeft();

        assertTrue(
                problems.stream().anyMatch(p -> p.field().equals(field)),
                "expected " + field + " in " + problems);
        Problem problem =
                problems.stream().filter(p -> p.field().equals(field)).findFirst().orElseThrow();
        assertTrue(Math.abs(problem.line() - line) <= 2, problem + " expected near line " + line);
        assertTrue(problem.toString().startsWith("d.yaml:" + problem.line() + ": " + field));
    }

    @Test(description = "guards against a reader that stops at the first problem")
    public void reportsAllProblemsAtOnce() {
        String text =
                Declarations.VALID
                        .replace("deadline: 2s", "deadline: soon")
                        .replace("urgency: prompt", "urgency: high")
                        .replace("share: 2", "share: -1");
        assertEquals(DeclarationReader.read("d.yaml", text).getLeft().size(), 3);
    }

    @Test(description = "guards against an exception on text that is not YAML")
    public void reportsSyntaxErrors() {
        List<Problem> problems = DeclarationReader.read("d.yaml", "number: [1\nkinds: }").getLeft();
        assertEquals(problems.get(0).field(), "(syntax)");
        assertEquals(DeclarationReader.read("d.yaml", "just a word").getLeft().size(), 1);
        assertEquals(DeclarationReader.read("d.yaml", "").getLeft().size(), 1);
    }
}
