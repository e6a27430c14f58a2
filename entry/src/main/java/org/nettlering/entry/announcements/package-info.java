/** The HTTP server for the platform, where upstreams announce themselves and workers report. */
@NullMarked
package org.nettlering.entry.announcements;

import org.jspecify.annotations.NullMarked;
