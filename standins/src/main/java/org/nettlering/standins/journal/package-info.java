/** Files in which the stand-ins record what they ran, and the checks that compare those files with the promises. */
@NullMarked
package org.nettlering.standins.journal;

import org.jspecify.annotations.NullMarked;
