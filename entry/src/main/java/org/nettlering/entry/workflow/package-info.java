/** The connection from an entry to the control leader, which carries the jobs that callers submit. */
@NullMarked
package org.nettlering.entry.workflow;

import org.jspecify.annotations.NullMarked;
