import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a run: one line for each thing that was sent, answered, run or done. */
final class Record implements AutoCloseable {
    private final long begunNanos = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    /** Returns the time since the start of the run in ms. */
    long now() {
        return (System.nanoTime() - begunNanos) / 1_000_000;
    }

    synchronized void line(String format, Object... args) {
        out.printf("%7d %s%n", now(), args.length == 0 ? format : String.format(format, args));
    }

    /** Writes a line to the record and to the standard output. */
    void say(String format, Object... args) {
        String text = args.length == 0 ? format : String.format(format, args);
        line("%s", text);
        System.out.println(text);
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
