package org.bronzehill.config;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.yaml.snakeyaml.DumperOptions;
import org.yaml.snakeyaml.Yaml;

/**
 * Applies patches to declarations. A patch is a YAML mapping with two fields: {@code base} is the
 * number of the declaration that the patch was made for, and {@code change} is a merge patch (RFC
 * 7396), in which {@code null} removes a field.
 */
public final class Patch {

    /** Reason why a patch was rejected. */
    public enum RejectionReason {
        /** The patch was made for a number other than the current one. */
        STALE,
        /** The patch, the current declaration or the patched declaration has errors. */
        INVALID
    }

    /** A rejected patch; the declaration is unchanged. */
    public record Rejection(RejectionReason reason, List<Problem> problems) {
        public Rejection {
            problems = List.copyOf(problems);
        }
    }

    /**
     * The declaration that results from a patch.
     *
     * @param number number of the patched declaration
     * @param text YAML text of the patched declaration
     */
    public record PatchedDeclaration(long number, String text, Configuration configuration) {}

    private Patch() {}

    /** Applies a patch to the current declaration; both are given as YAML text. */
    public static Either<Rejection, PatchedDeclaration> apply(
            String declarationFile, String declaration, String patchFile, String patch) {
        Either<List<Problem>, YamlNode.Mapping> current =
                YamlParser.parse(declarationFile, declaration);
        Either<List<Problem>, YamlNode.Mapping> parsedPatch = YamlParser.parse(patchFile, patch);
        List<Problem> syntax = new ArrayList<>();
        current.peekLeft(syntax::addAll);
        parsedPatch.peekLeft(syntax::addAll);
        if (!syntax.isEmpty()) {
            return invalid(syntax);
        }
        Either<List<Problem>, Configuration> validated =
                DeclarationReader.readTree(declarationFile, current.get());
        if (validated.isLeft()) {
            return invalid(validated.getLeft());
        }
        return merge(
                declarationFile,
                validated.get().number(),
                current.get(),
                patchFile,
                parsedPatch.get());
    }

    private static Either<Rejection, PatchedDeclaration> merge(
            String declarationFile,
            long currentNumber,
            YamlNode.Mapping current,
            String patchFile,
            YamlNode.Mapping patch) {
        List<Problem> problems = new ArrayList<>();
        FieldReader fields = new FieldReader(patchFile, "", patch, problems);
        fields.allowOnly("base", "change");
        long base = fields.integer("base", null, 1, Long.MAX_VALUE);
        if (!(patch.entries().get("change") instanceof YamlNode.Mapping changes)) {
            fields.report("change", "a mapping of the changed fields is expected");
            return invalid(problems);
        }
        if (changes.entries().containsKey("number")) {
            problems.add(
                    new Problem(
                            patchFile,
                            changes.entries().get("number").line(),
                            "change.number",
                            "the next number is assigned when the patch is accepted"));
        }
        if (!problems.isEmpty()) {
            return invalid(problems);
        }
        if (base != currentNumber) {
            String reason =
                    "the patch was made against number "
                            + base
                            + ", but the current number is "
                            + currentNumber;
            int line = patch.entries().get("base").line();
            return Either.left(
                    new Rejection(
                            RejectionReason.STALE,
                            List.of(new Problem(patchFile, line, "base", reason))));
        }
        Map<String, Object> next = applyMergePatch(toPlainMap(current), toPlainMap(changes));
        next.put("number", currentNumber + 1);
        String text = dump(next);
        return DeclarationReader.read(declarationFile, text)
                .mapLeft(
                        p -> new Rejection(RejectionReason.INVALID, attributeToPatch(patchFile, p)))
                .map(c -> new PatchedDeclaration(c.number(), text, c));
    }

    /**
     * Reports problems of the patched declaration as problems of the patch file. The line numbers
     * are dropped, because they refer to generated text that the user has not seen.
     */
    private static List<Problem> attributeToPatch(String patchFile, List<Problem> problems) {
        return problems.stream()
                .map(p -> new Problem(patchFile, 0, p.field(), p.reason()))
                .toList();
    }

    private static Either<Rejection, PatchedDeclaration> invalid(List<Problem> problems) {
        return Either.left(new Rejection(RejectionReason.INVALID, problems));
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> toPlainMap(YamlNode.Mapping mapping) {
        return (Map<String, Object>) mapping.toPlainObject();
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> applyMergePatch(
            Map<String, Object> target, Map<String, Object> patch) {
        Map<String, Object> merged = new LinkedHashMap<>(target);
        patch.forEach(
                (field, value) -> {
                    if (value == null) {
                        merged.remove(field);
                    } else if (value instanceof Map<?, ?> map) {
                        Object old = merged.get(field);
                        Map<String, Object> oldFields =
                                old instanceof Map<?, ?> ? (Map<String, Object>) old : Map.of();
                        merged.put(field, applyMergePatch(oldFields, (Map<String, Object>) map));
                    } else {
                        merged.put(field, value);
                    }
                });
        return merged;
    }

    private static String dump(Map<String, Object> declaration) {
        DumperOptions options = new DumperOptions();
        options.setDefaultFlowStyle(DumperOptions.FlowStyle.BLOCK);
        return new Yaml(options).dump(declaration);
    }
}
