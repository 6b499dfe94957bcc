package org.bronzehill.standin.internal;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;

/**
 * Generates the answers of an engine stand-in. Every token contains a checksum of the prompt, so
 * that a caller can verify that the answer belongs to its request, and its own position, so that
 * missing tokens are detected.
 */
public final class AnswerText {

    private AnswerText() {}

    /** Returns the answer of {@code tokens} tokens to {@code prompt}. */
    public static String of(String prompt, int tokens) {
        String checksum = checksum(prompt);
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < tokens; i++) {
            text.append(token(checksum, i));
        }
        return text.toString();
    }

    static String checksum(String prompt) {
        CRC32 crc = new CRC32();
        crc.update(prompt.getBytes(StandardCharsets.UTF_8));
        return Long.toHexString(crc.getValue());
    }

    static String token(String checksum, int index) {
        return checksum + '-' + index + ' ';
    }
}
