package org.nettlering.wire.transport;

import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.wire.proto.FrameProto.Failure;

/**
 * A {@code Failure} frame as an exception.
 *
 * <p>A {@link FrameHandler} fails with it to tell more than a code; a {@link Peer} fails with it when the other side
 * answered with a failure. Immutable apart from the stack trace.
 */
public final class FrameFailureException extends NettleringException {
    private static final long serialVersionUID = 1L;

    /** The member that is believed to lead, empty if unknown. */
    private final String leaderId;

    /** Where that member listens, empty if unknown. */
    private final String leaderAddress;

    /** True only when the request certainly had no effect. */
    private final boolean notRun;

    /** When to try again in milliseconds, zero if unknown. */
    private final int retryAfterMillis;

    /**
     * Creates the exception that redirects to the leader.
     *
     * @param leaderId the member that is believed to lead, or null if none is known
     * @return a new exception, never null
     */
    public static FrameFailureException notLeader(@Nullable String leaderId) {
        return notLeader(leaderId, "");
    }

    /**
     * Creates the exception that redirects to the leader at an address.
     *
     * @param leaderId the member that is believed to lead, or null if none is known
     * @param leaderAddress where it listens for peers, as IP:PORT, empty if unknown, not null
     * @return a new exception, never null
     */
    public static FrameFailureException notLeader(@Nullable String leaderId, String leaderAddress) {
        String leader = leaderId == null ? "" : leaderId;
        String message = leader.isEmpty() ? "no leader is known" : "member \"" + leader + "\" leads";
        return new FrameFailureException(ErrorCode.NOT_LEADER, message, leader, leaderAddress, true, 0);
    }

    /**
     * Creates an exception.
     *
     * @param code the stable code, not null
     * @param message what failed, naming the thing, not null
     * @param notRun true only when the request certainly had no effect
     * @param retryAfterMillis when to try again in milliseconds, zero if unknown
     * @return a new exception, never null
     */
    public static FrameFailureException of(ErrorCode code, String message, boolean notRun, int retryAfterMillis) {
        return new FrameFailureException(code, message, "", "", notRun, retryAfterMillis);
    }

    /**
     * Reads a failure that another process sent.
     *
     * @param failure the message, not null
     * @return a new exception, never null
     */
    public static FrameFailureException from(Failure failure) {
        return new FrameFailureException(
                ErrorCode.fromText(failure.getCode()),
                failure.getMessage(),
                failure.getLeaderId(),
                failure.getLeaderAddress(),
                failure.getNotRun(),
                failure.getRetryAfterMillis());
    }

    private FrameFailureException(
            ErrorCode code,
            String message,
            String leaderId,
            String leaderAddress,
            boolean notRun,
            int retryAfterMillis) {
        super(code, message);
        this.leaderId = leaderId;
        this.leaderAddress = leaderAddress;
        this.notRun = notRun;
        this.retryAfterMillis = retryAfterMillis;
    }

    /**
     * Returns the member that is believed to lead.
     *
     * @return the member's id, or empty if none is known, never null
     */
    public Optional<String> leaderId() {
        return leaderId.isEmpty() ? Optional.empty() : Optional.of(leaderId);
    }

    /**
     * Returns where the member that is believed to lead listens for peers.
     *
     * @return IP:PORT, empty if unknown, never null
     */
    public String leaderAddress() {
        return leaderAddress;
    }

    /**
     * Tells whether the request certainly had no effect.
     *
     * @return true when it may be tried again
     */
    public boolean isNotRun() {
        return notRun;
    }

    /**
     * Returns when to try again.
     *
     * @return milliseconds, zero if unknown
     */
    public int retryAfterMillis() {
        return retryAfterMillis;
    }

    /**
     * Returns the message to send.
     *
     * @return the failure, never null
     */
    public Failure toFailure() {
        return Failure.newBuilder()
                .setCode(code().text())
                .setMessage(String.valueOf(getMessage()))
                .setLeaderId(leaderId)
                .setLeaderAddress(leaderAddress)
                .setNotRun(notRun)
                .setRetryAfterMillis(retryAfterMillis)
                .build();
    }

    /**
     * Tells whether an error proves that the request had no effect.
     *
     * @param error what a call failed with, not null
     * @return true when the request certainly had no effect
     */
    public static boolean isNotRun(Throwable error) {
        if (error instanceof FrameFailureException failure) {
            return failure.isNotRun();
        }
        return error instanceof NettleringException exception && isNotRun(exception.code());
    }

    private static boolean isNotRun(ErrorCode code) {
        return switch (code) {
            case OUTCOME_UNKNOWN,
                    DEADLINE_EXCEEDED,
                    UPSTREAM_FAILED,
                    INTERNAL,
                    STORAGE_CORRUPT,
                    STORAGE_FAILED,
                    STORAGE_FULL,
                    STORAGE_LOCKED,
                    STORAGE_TOO_NEW -> false;
            default -> true;
        };
    }
}
