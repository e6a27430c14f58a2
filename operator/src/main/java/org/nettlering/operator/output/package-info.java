/** What the program prints for people: tables and lists of decisions. */
@NullMarked
package org.nettlering.operator.output;

import org.jspecify.annotations.NullMarked;
