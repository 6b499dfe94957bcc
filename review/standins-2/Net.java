import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;

/** Finds loopback addresses on which the ports of an entry machine are free. */
final class Net {
    private final String prefix;

    Net() throws IOException {
        for (int tries = 0; tries < 50; tries++) {
            ThreadLocalRandom r = ThreadLocalRandom.current();
            String candidate = "127." + r.nextInt(20, 250) + "." + r.nextInt(1, 250) + ".";
            if (isFree(candidate + "1")) {
                prefix = candidate;
                return;
            }
        }
        throw new IOException("no free loopback addresses");
    }

    private static boolean isFree(String host) {
        for (int port : new int[] {Entry.FRONT, Entry.READY, Entry.FIRST_PORT, 9464}) {
            try (ServerSocket s = new ServerSocket(port, 1, InetAddress.getByName(host))) {
                s.getLocalPort();
            } catch (IOException e) {
                return false;
            }
        }
        return true;
    }

    String host(int number) {
        return prefix + number;
    }
}
