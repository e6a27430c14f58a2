package org.nettlering.standins.upstream;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;

/**
 * The body of an upstream stand-in's answer, which proves to its caller that it is whole and its own.
 *
 * <p>It starts with the caller's attempt, is padded to the size asked for, and ends with a mark.
 */
public final class AnswerBody {
    private static final String END_MARK = "\nend\n";

    private AnswerBody() {}

    /**
     * Returns the body for an attempt.
     *
     * @param attempt the caller's attempt, not null
     * @param sizeBytes the least size
     * @return a new buffer, never null
     */
    public static Buffer of(String attempt, int sizeBytes) {
        Buffer body = Buffer.buffer(attempt + "\n");
        int padding = sizeBytes - body.length() - END_MARK.length();
        if (padding > 0) {
            body.appendBytes("x".repeat(padding).getBytes(StandardCharsets.US_ASCII));
        }
        return body.appendString(END_MARK);
    }

    /**
     * Tells whether a body is the whole answer to a request.
     *
     * @param body the body that the caller received, not null
     * @param request the identifier that every attempt of the request starts with, not null
     * @return true if the body starts with one of the request's attempts and ends with the mark
     */
    public static boolean isWhole(Buffer body, String request) {
        String text = body.toString(StandardCharsets.US_ASCII);
        return text.startsWith(request + ".") && text.endsWith(END_MARK);
    }
}
