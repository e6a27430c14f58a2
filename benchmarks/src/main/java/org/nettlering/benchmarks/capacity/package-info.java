/** What each unit of work costs each role, and what follows from it at the size that is planned for. */
@NullMarked
package org.nettlering.benchmarks.capacity;

import org.jspecify.annotations.NullMarked;
