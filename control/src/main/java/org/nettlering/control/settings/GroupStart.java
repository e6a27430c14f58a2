package org.nettlering.control.settings;

/**
 * What a member may do when its data folder is empty.
 *
 * <p>Immutable and thread-safe.
 *
 * @param founds true if the members of the settings found the group once all of their folders are empty
 * @param joins true if the member asks the group to take it in when it is not one of them
 */
public record GroupStart(boolean founds, boolean joins) {}
