package org.nettlering.operator.command;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Message;
import com.google.protobuf.MessageOrBuilder;
import com.google.protobuf.util.JsonFormat;
import java.io.PrintStream;
import java.util.UUID;
import java.util.function.Function;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.operator.client.EntryClient;
import org.nettlering.operator.client.EntryRequest;

/** What a command needs: it reaches the entries and prints answers. Used by one thread. */
public final class Session {
    /** Reaches the entries. */
    private final EntryClient client;

    /** Receives the answers. */
    private final PrintStream out;

    /** Whether answers are printed as JSON. */
    private final boolean json;

    /**
     * Creates a session.
     *
     * @param client reaches the entries, not null
     * @param out receives the answers, not null
     * @param json true to print answers as JSON
     */
    public Session(EntryClient client, PrintStream out, boolean json) {
        this.client = client;
        this.out = out;
        this.json = json;
    }

    /** Sends a request and prints its answer. */
    <B extends Message.Builder> void show(EntryRequest request, B builder, Function<B, String> report) {
        String body = client.send(request);
        if (json) {
            out.print(body);
            return;
        }
        out.print(report.apply(parse(body, builder)));
    }

    /** Sends a request and reads its answer. */
    <B extends Message.Builder> B read(EntryRequest request, B builder) {
        return parse(client.send(request), builder);
    }

    /** Writes a message as a request body. */
    String toJson(MessageOrBuilder message) {
        try {
            return JsonFormat.printer().omittingInsignificantWhitespace().print(message);
        } catch (InvalidProtocolBufferException exception) {
            throw new NettleringException(ErrorCode.INTERNAL, "the message cannot be written", exception);
        }
    }

    /** Returns an id for a new operation. */
    String newOperationId() {
        return UUID.randomUUID().toString();
    }

    private static <B extends Message.Builder> B parse(String body, B builder) {
        try {
            JsonFormat.parser().ignoringUnknownFields().merge(body, builder);
            return builder;
        } catch (InvalidProtocolBufferException exception) {
            throw new NettleringException(
                    ErrorCode.INTERNAL, "the entry's answer cannot be read: " + exception.getMessage(), exception);
        }
    }
}
