/** Exchange of announcements, loads and borrowed slots between entries. */
@NullMarked
package org.nettlering.entry.gossip;

import org.jspecify.annotations.NullMarked;
