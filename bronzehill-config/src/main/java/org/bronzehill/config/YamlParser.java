package org.bronzehill.config;

import io.vavr.control.Either;
import java.io.StringReader;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.yaml.snakeyaml.LoaderOptions;
import org.yaml.snakeyaml.Yaml;
import org.yaml.snakeyaml.constructor.SafeConstructor;
import org.yaml.snakeyaml.error.MarkedYAMLException;
import org.yaml.snakeyaml.error.YAMLException;
import org.yaml.snakeyaml.nodes.MappingNode;
import org.yaml.snakeyaml.nodes.NodeTuple;
import org.yaml.snakeyaml.nodes.ScalarNode;
import org.yaml.snakeyaml.nodes.SequenceNode;

/** Parses YAML into nodes with line numbers. */
final class YamlParser {

    /** Largest accepted file; 90,000 adapters take about 25 million characters. */
    private static final int MAX_FILE_CHARACTERS = 100_000_000;

    private final String file;
    private final List<Problem> problems = new ArrayList<>();
    private final ScalarConstructor scalars = new ScalarConstructor();

    private YamlParser(String file) {
        this.file = file;
    }

    /** Parses a file whose top level must be a mapping. */
    static Either<List<Problem>, YamlNode.Mapping> parse(String file, String text) {
        return new YamlParser(file).parse(text);
    }

    private Either<List<Problem>, YamlNode.Mapping> parse(String text) {
        LoaderOptions options = new LoaderOptions();
        options.setCodePointLimit(MAX_FILE_CHARACTERS);
        options.setMaxAliasesForCollections(0);
        org.yaml.snakeyaml.nodes.Node root;
        try {
            root = new Yaml(options).compose(new StringReader(text));
        } catch (MarkedYAMLException e) {
            int line = e.getProblemMark() == null ? 0 : e.getProblemMark().getLine() + 1;
            return Either.left(List.of(new Problem(file, line, "(syntax)", e.getProblem())));
        } catch (YAMLException e) {
            return Either.left(List.of(new Problem(file, 0, "(syntax)", e.getMessage())));
        }
        if (!(root instanceof MappingNode mapping)) {
            return Either.left(
                    List.of(new Problem(file, 0, "(file)", "a mapping is expected at the top")));
        }
        YamlNode.Mapping converted = mapping(mapping, "");
        return problems.isEmpty() ? Either.right(converted) : Either.left(problems);
    }

    private YamlNode convert(org.yaml.snakeyaml.nodes.Node node, String path) {
        int line = node.getStartMark().getLine() + 1;
        if (node instanceof MappingNode m) {
            return mapping(m, path);
        }
        if (node instanceof SequenceNode s) {
            List<YamlNode> items = new ArrayList<>();
            for (int i = 0; i < s.getValue().size(); i++) {
                items.add(convert(s.getValue().get(i), path + '[' + i + ']'));
            }
            return new YamlNode.Sequence(line, items);
        }
        ScalarNode scalar = (ScalarNode) node;
        try {
            return new YamlNode.Scalar(line, scalar.getValue(), scalars.construct(scalar));
        } catch (YAMLException e) {
            problems.add(new Problem(file, line, path, "invalid scalar: " + e.getMessage()));
            return new YamlNode.Scalar(line, scalar.getValue(), null);
        }
    }

    private YamlNode.Mapping mapping(MappingNode node, String path) {
        Map<String, YamlNode> entries = new LinkedHashMap<>();
        for (NodeTuple t : node.getValue()) {
            int line = t.getKeyNode().getStartMark().getLine() + 1;
            if (!(t.getKeyNode() instanceof ScalarNode key)) {
                problems.add(new Problem(file, line, path, "a field name must be a scalar"));
                continue;
            }
            String name = key.getValue();
            String field = path.isEmpty() ? name : path + '.' + name;
            if (entries.put(name, convert(t.getValueNode(), field)) != null) {
                problems.add(new Problem(file, line, field, "duplicate field"));
            }
        }
        return new YamlNode.Mapping(node.getStartMark().getLine() + 1, entries);
    }

    /** Exposes SnakeYAML's conversion of scalars, which is protected. */
    private static final class ScalarConstructor extends SafeConstructor {
        private ScalarConstructor() {
            super(new LoaderOptions());
        }

        private Object construct(ScalarNode node) {
            return constructObject(node);
        }
    }
}
