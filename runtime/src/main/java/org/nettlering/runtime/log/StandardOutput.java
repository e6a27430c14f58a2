package org.nettlering.runtime.log;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;

/**
 * Standard output as a stream that tells when writing fails, which a print stream keeps to itself.
 *
 * <p>Passes each block on in one call. As thread-safe as the print stream.
 */
final class StandardOutput extends OutputStream {
    /** The print stream of the process. */
    private final PrintStream stream;

    StandardOutput(PrintStream stream) {
        this.stream = stream;
    }

    @Override
    public void write(int one) throws IOException {
        write(new byte[] {(byte) one}, 0, 1);
    }

    @Override
    public void write(byte[] bytes, int offset, int length) throws IOException {
        stream.write(bytes, offset, length);
        flush();
    }

    @Override
    public void flush() throws IOException {
        if (stream.checkError()) {
            throw new IOException("standard output cannot be written");
        }
    }
}
