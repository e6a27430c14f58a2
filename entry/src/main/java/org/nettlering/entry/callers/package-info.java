/** The HTTP server for callers: from a request to its whole answer, or to a refusal that says what is known. */
@NullMarked
package org.nettlering.entry.callers;

import org.jspecify.annotations.NullMarked;
