package org.nettlering.control.ledger;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.nettlering.control.state.SiteStateMachine;
import org.nettlering.control.testing.EmptyPart;
import org.nettlering.control.testing.SingleMemberLog;
import org.nettlering.domain.time.ManualTime;
import org.nettlering.wire.proto.FrameProto.Frame;
import org.nettlering.wire.proto.RequestProto.LedgerRequest;
import org.nettlering.wire.proto.RequestProto.LedgerResponse;
import org.nettlering.wire.proto.RequestProto.ReservationState;
import org.nettlering.wire.proto.RequestProto.ReserveKey;

class LedgerServiceTest {
    /** As many milliseconds as the field of the message holds, some 49 days. */
    private static final int LONGEST_TIMEOUT = -1;

    private final LedgerPart part = LedgerPart.create();
    private final SiteStateMachine machine =
            SiteStateMachine.of(new EmptyPart(), new EmptyPart(), part, new EmptyPart());
    private final SingleMemberLog log = new SingleMemberLog(machine);
    private final LedgerService service =
            LedgerService.of(log, part, ManualTime.startingAt(Instant.ofEpochSecond(1_000)));

    @Test
    void aReservationWithTheLongestTimeoutDoesNotEndTheMembersWhenItsKeyIsAskedForAgain() {
        assertThat(reserve("first", LONGEST_TIMEOUT).getState()).isEqualTo(ReservationState.RESERVED);

        LedgerResponse second = reserve("second", 1_000);

        assertThat(second.getState()).isEqualTo(ReservationState.IN_FLIGHT);
        assertThat(Integer.toUnsignedLong(second.getRemainingMillis())).isEqualTo(0xFFFF_FFFFL);
    }

    @Test
    void aReservationWithTheLongestTimeoutIsInTheSnapshot() {
        reserve("first", LONGEST_TIMEOUT);

        LedgerPart restored = LedgerPart.create();
        SiteStateMachine.of(new EmptyPart(), new EmptyPart(), restored, new EmptyPart())
                .restore(machine.capture().encode());

        assertThat(restored.state().snapshot()).isEqualTo(part.state().snapshot());
    }

    private LedgerResponse reserve(String attempt, int timeoutMillis) {
        ReserveKey reserve = ReserveKey.newBuilder()
                .setService("prints")
                .setKey("key-1")
                .setContentDigest(ByteString.copyFromUtf8("digest"))
                .setEntryId("e1")
                .setAttemptId(attempt)
                .setTimeoutMillis(timeoutMillis)
                .build();
        Frame request = Frame.newBuilder()
                .setLedgerRequest(LedgerRequest.newBuilder().setReserve(reserve))
                .build();
        return service.handle(request).toCompletableFuture().join().getLedgerResponse();
    }
}
