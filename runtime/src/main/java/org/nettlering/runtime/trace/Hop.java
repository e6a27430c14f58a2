package org.nettlering.runtime.trace;

/** The kinds of hop that a span stands for. */
public enum Hop {
    /** A caller's or operator's request as the entry serves it. */
    CALLER_TO_ENTRY("caller-to-entry", true),
    /** An attempt at an upstream, as the entry makes it. */
    ENTRY_TO_UPSTREAM("entry-to-upstream", false),
    /** A call of the control leader, as the entry makes it. */
    ENTRY_TO_CONTROL("entry-to-control", false),
    /** A request as a control process serves it. */
    CONTROL_SERVES("control-serves", true),
    /** A command to a worker, from its decision to its hand-over with a report's response. */
    CONTROL_TO_WORKER("control-to-worker", false);

    /** The name of the spans. */
    private final String spanName;

    /** True when the span belongs to the side that is called. */
    private final boolean server;

    Hop(String spanName, boolean server) {
        this.spanName = spanName;
        this.server = server;
    }

    /**
     * Returns the name of the spans.
     *
     * @return the name, never null
     */
    public String spanName() {
        return spanName;
    }

    boolean isServer() {
        return server;
    }
}
