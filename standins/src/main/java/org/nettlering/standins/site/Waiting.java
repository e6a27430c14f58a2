package org.nettlering.standins.site;

import io.vertx.core.Future;
import java.time.Duration;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;

/** Waits for conditions of other processes, which can only be polled. */
public final class Waiting {
    private static final Duration POLL_INTERVAL = Duration.ofMillis(50);

    private Waiting() {}

    /**
     * Waits until a condition holds.
     *
     * @param what names the condition in the error, not null
     * @param limit how long to wait, not null
     * @param condition what is polled, not null
     * @return how long it took, never null
     * @throws NettleringException with {@code DEADLINE_EXCEEDED} if the condition does not hold in time
     */
    public static Duration until(String what, Duration limit, BooleanSupplier condition) {
        long start = System.nanoTime();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - start > limit.toNanos()) {
                throw new NettleringException(
                        ErrorCode.DEADLINE_EXCEEDED, what + " did not happen within " + limit.toSeconds() + " s");
            }
            pause(POLL_INTERVAL);
        }
        return Duration.ofNanos(System.nanoTime() - start);
    }

    /**
     * Waits for a fixed time.
     *
     * @param time how long, not null
     * @throws NettleringException with {@code STOPPING} if the thread is interrupted
     */
    public static void pause(Duration time) {
        try {
            Thread.sleep(time);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new NettleringException(ErrorCode.STOPPING, "interrupted", exception);
        }
    }

    /**
     * Waits for an answer.
     *
     * @param what names the answer in the error, not null
     * @param limit how long to wait, not null
     * @param answer the answer, not null
     * @param <T> the type of the answer
     * @return the answer
     * @throws NettleringException with {@code DEADLINE_EXCEEDED} if there is none in time, {@code UPSTREAM_FAILED} if it
     *     failed, {@code STOPPING} if the thread is interrupted
     */
    public static <T> T forAnswer(String what, Duration limit, Future<T> answer) {
        try {
            return answer.toCompletionStage().toCompletableFuture().get(limit.toMillis(), TimeUnit.MILLISECONDS);
        } catch (ExecutionException exception) {
            throw new NettleringException(
                    ErrorCode.UPSTREAM_FAILED, what + " failed: " + exception.getCause(), exception);
        } catch (TimeoutException exception) {
            throw new NettleringException(
                    ErrorCode.DEADLINE_EXCEEDED, what + " did not come within " + limit.toSeconds() + " s", exception);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new NettleringException(ErrorCode.STOPPING, "interrupted", exception);
        }
    }
}
