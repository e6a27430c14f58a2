/** Tests of the way from operators and workers through an entry to a real control process, in one virtual machine. */
@NullMarked
package org.nettlering.standins.site;

import org.jspecify.annotations.NullMarked;
