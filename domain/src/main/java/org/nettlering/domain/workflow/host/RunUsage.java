package org.nettlering.domain.workflow.host;

import org.nettlering.domain.workflow.RunId;

/**
 * What a look told of one run at work.
 *
 * <p>Immutable and thread-safe.
 *
 * @param run the run, not null
 * @param load the tail of its response times in milliseconds if it serves, else the millicores in use
 * @param speedPercent the share of its speed that its host was told last
 * @param progressPercent how far it is
 * @param lastProgressNanos when the percent last rose, by the monotonic clock
 * @param throttledSinceNanos when the host took the first order to work at less than its full speed, by the monotonic clock;
 *     of no meaning at full speed
 */
public record RunUsage(
        RunId run,
        long load,
        int speedPercent,
        int progressPercent,
        long lastProgressNanos,
        long throttledSinceNanos) {}
