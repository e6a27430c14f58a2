/** The HTTP server for callers: forwards each request to an upstream and relays its response, or sends an error response. */
@NullMarked
package org.nettlering.entry.callers;

import org.jspecify.annotations.NullMarked;
