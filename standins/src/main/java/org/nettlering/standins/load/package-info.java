/** The stand-in for callers: open-loop requests to the entries, with their outcomes. */
@NullMarked
package org.nettlering.standins.load;

import org.jspecify.annotations.NullMarked;
