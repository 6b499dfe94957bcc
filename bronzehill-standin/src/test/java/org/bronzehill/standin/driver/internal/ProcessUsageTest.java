package org.bronzehill.standin.driver.internal;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.io.IOException;
import java.time.Duration;
import org.testng.annotations.Test;

/** Tests the parsing of kernel and JVM reports. */
public class ProcessUsageTest {

    /** Guards against shifted columns when the command name contains spaces and parentheses. */
    @Test
    public void readsTimesBehindAnyCommandName() throws IOException {
        ProcessUsage usage =
                ProcessUsage.parse(
                        "17 (a) b (c) S 1 17 17 0 -1 4194304 900 0 3 0 250 31 7 9 20 0 31 0 5 6 7",
                        "Name:\tjava\nVmPeak:\t 9000 kB\nVmRSS:\t  2048 kB\n");
        assertEquals(usage.cpu(), Duration.ofMillis(2810));
        assertEquals(usage.residentBytes(), 2048 * 1024);
    }

    /** Guards against reading the row of a class named Total instead of the total row. */
    @Test
    public void readsTheTotalOfTheHistogram() throws IOException {
        String output =
                "17:\n num #instances #bytes class name\n   1:  20  900 [B (java.base@21)\n"
                        + "   2:  1  24 Total\nTotal            21            924\n";
        assertEquals(ProcessUsage.parseHistogram(output), 924);
        assertThrows(IOException.class, () -> ProcessUsage.parseHistogram("no such process"));
    }
}
