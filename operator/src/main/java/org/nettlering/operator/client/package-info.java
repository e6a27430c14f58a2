/** Calls of the operators' port, at one entry after the other. */
@NullMarked
package org.nettlering.operator.client;

import org.jspecify.annotations.NullMarked;
