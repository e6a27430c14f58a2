/** The stand-in for a service instance; it announces itself to entries and answers their requests. */
@NullMarked
package org.nettlering.standins.upstream;

import org.jspecify.annotations.NullMarked;
