/** Controls how best-effort runs share hosts with latency-critical runs. */
@NullMarked
package org.nettlering.domain.workflow.colocation;

import org.jspecify.annotations.NullMarked;
