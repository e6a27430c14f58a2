package org.nettlering.domain.upstream;

/** The announced state of an upstream. */
public enum UpstreamState {
    /** The upstream accepts new requests. */
    SERVING,
    /** The upstream is draining: it completes its requests in flight and accepts no new ones. */
    LEAVING
}
