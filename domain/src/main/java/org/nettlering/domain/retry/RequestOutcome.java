package org.nettlering.domain.retry;

/** What the entry can say about a request that got no answer of an upstream. */
public enum RequestOutcome {
    /** The request certainly did not run. */
    NOT_RUN("not-run"),
    /** The request may have run. */
    UNKNOWN("unknown");

    /** The text in the outcome header. */
    private final String text;

    RequestOutcome(String text) {
        this.text = text;
    }

    /**
     * Returns the text in the outcome header.
     *
     * @return the text, never null
     */
    public String text() {
        return text;
    }
}
