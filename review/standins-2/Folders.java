import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** Removes the temporary folder of a run. */
final class Folders {
    private Folders() {}

    /**
     * Deletes a folder of settings and logs. The logs are kept in the folder that the variable
     * KEEP_LOGS names, if it is set.
     */
    static void delete(Path folder) throws IOException {
        String keep = System.getenv("KEEP_LOGS");
        List<Path> found;
        try (Stream<Path> all = Files.walk(folder)) {
            found = all.sorted(Comparator.reverseOrder()).toList();
        }
        for (Path p : found) {
            if (keep != null && p.toString().endsWith(".log")) {
                Files.copy(
                        p,
                        Path.of(keep).resolve(p.getFileName()),
                        StandardCopyOption.REPLACE_EXISTING);
            }
            Files.delete(p);
        }
    }
}
