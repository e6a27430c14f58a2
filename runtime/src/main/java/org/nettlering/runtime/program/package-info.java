/** What the main classes of the long-running programs share: command line, exit codes, start and stop. */
@NullMarked
package org.nettlering.runtime.program;

import org.jspecify.annotations.NullMarked;
