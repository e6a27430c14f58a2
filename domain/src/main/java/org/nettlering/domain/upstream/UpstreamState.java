package org.nettlering.domain.upstream;

/** What an upstream says about itself. */
public enum UpstreamState {
    /** It takes new requests. */
    SERVING,
    /** It finishes what it has and takes no new request. */
    LEAVING
}
