/** The commands of the program, parsed by args4j: one class a group, with a nested class for each command. */
@NullMarked
package org.nettlering.operator.command;

import org.jspecify.annotations.NullMarked;
