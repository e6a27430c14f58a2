package org.nettlering.domain.retry;

/** What the entry knows about the execution of a request that got no response from an upstream. */
public enum RequestOutcome {
    /** The request did not run. */
    NOT_RUN("not-run"),
    /** The request may have run. */
    UNKNOWN("unknown");

    private final String text;

    RequestOutcome(String text) {
        this.text = text;
    }

    /**
     * Returns the value of the outcome header.
     *
     * @return the value, never null
     */
    public String text() {
        return text;
    }
}
