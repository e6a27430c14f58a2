/** The way of callers' jobs of steps from an entry to the leader. */
@NullMarked
package org.nettlering.entry.workflow;

import org.jspecify.annotations.NullMarked;
