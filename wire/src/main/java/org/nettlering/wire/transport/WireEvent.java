package org.nettlering.wire.transport;

import org.nettlering.runtime.log.LogEvent;
import org.slf4j.event.Level;

/** The log events of the connections between processes; docs/EVENTS.md gives cause and remedy of each. */
public enum WireEvent implements LogEvent {
    /** A server listens. */
    LISTENING(2001, Level.INFO, "listening for peers on {}"),
    /** A connection to a peer is ready. */
    PEER_CONNECTED(2002, Level.INFO, "connected to peer {} at {}"),
    /** A connection to a peer ended. */
    PEER_DISCONNECTED(2003, Level.INFO, "connection to peer {} at {} ended: {}"),
    /** A peer could not be reached. */
    PEER_UNREACHABLE(2004, Level.WARN, "peer {} at {} cannot be reached: {}"),
    /** A connection was quiet in spite of pings and is replaced. */
    SILENT_CONNECTION(2005, Level.WARN, "connection to peer {} at {} has been silent for {} ms and is replaced"),
    /** A process of another cluster or version called. */
    WRONG_CLUSTER(2006, Level.ERROR, "refused a connection from {}: {}"),
    /** Bytes arrived that are no frame, or a frame out of place. */
    MALFORMED_FRAME(2007, Level.WARN, "closed the connection to {}: {}"),
    /** A peer does not read what it is sent. */
    SLOW_PEER(2008, Level.WARN, "peer {} does not read: {} bytes wait, the connection is closed"),
    /** A server accepts no more connections. */
    TOO_MANY_CONNECTIONS(2009, Level.WARN, "refused a connection from {}: {} are open"),
    /** A handler failed unexpectedly. */
    HANDLER_FAILED(2010, Level.ERROR, "a request from {} failed unexpectedly"),
    /** A caller's connection went quiet and was closed. */
    SILENT_CALLER(2011, Level.INFO, "connection from {} has been silent for {} ms and is closed"),
    /** This process was refused by a peer of another cluster or version. */
    REFUSED_BY_PEER(2012, Level.ERROR, "peer {} at {} refused this process: {}"),
    /** A message was not understood; its connection stays. */
    MESSAGE_DROPPED(2013, Level.WARN, "dropped a message from {}: {}"),
    /** A client exceeded a limit; its request was refused or its connection closed. */
    INPUT_REFUSED(2014, Level.WARN, "refused input from {}: {}");

    /** The number of the event. */
    private final int number;

    /** The level at which it is logged. */
    private final Level level;

    /** The SLF4J message pattern. */
    private final String pattern;

    WireEvent(int number, Level level, String pattern) {
        this.number = number;
        this.level = level;
        this.pattern = pattern;
    }

    @Override
    public int number() {
        return number;
    }

    @Override
    public Level level() {
        return level;
    }

    @Override
    public String pattern() {
        return pattern;
    }
}
