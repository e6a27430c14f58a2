/** Conversions between the generated messages and the values of the inner modules. */
@NullMarked
package org.nettlering.wire.codec;

import org.jspecify.annotations.NullMarked;
