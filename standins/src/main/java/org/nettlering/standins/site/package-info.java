/** A whole site on loopback, each program a process of its own, for demonstrations and benchmarks. */
@NullMarked
package org.nettlering.standins.site;

import org.jspecify.annotations.NullMarked;
