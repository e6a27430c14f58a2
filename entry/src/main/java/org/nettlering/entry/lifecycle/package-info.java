/** Readiness of the entry process, acceptance of requests, and draining before shutdown. */
@NullMarked
package org.nettlering.entry.lifecycle;

import org.jspecify.annotations.NullMarked;
