/** Whether the process is ready, and how it stops. */
@NullMarked
package org.nettlering.entry.lifecycle;

import org.jspecify.annotations.NullMarked;
