/** Numbered log events; docs/EVENTS.md lists each with its cause and what to do. */
@NullMarked
package org.nettlering.runtime.log;

import org.jspecify.annotations.NullMarked;
