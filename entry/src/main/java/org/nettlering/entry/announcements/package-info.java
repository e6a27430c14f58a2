/** HTTP routes of the platform port on which upstreams announce themselves. */
@NullMarked
package org.nettlering.entry.announcements;

import org.jspecify.annotations.NullMarked;
