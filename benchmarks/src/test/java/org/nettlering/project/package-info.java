/** Tests of the project as a whole: the arrows between its modules, and its catalogue of log events. */
@NullMarked
package org.nettlering.project;

import org.jspecify.annotations.NullMarked;
