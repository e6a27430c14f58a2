package org.nettlering.control.settings;

/**
 * What a member may do when its data folder is empty, and which losses its group has to bear.
 *
 * <p>Immutable and thread-safe.
 *
 * @param founds true if the members of the settings found the group once all of their folders are empty
 * @param joins true if the member asks the group to take it in when it is not one of them, and the group removes voters
 *     that are gone
 * @param toleratedLosses the number of disks that may be lost at once, at least zero
 */
public record GroupStart(boolean founds, boolean joins, int toleratedLosses) {}
