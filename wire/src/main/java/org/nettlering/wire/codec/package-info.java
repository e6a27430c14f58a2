/** Conversions between the messages of {@code wire.proto} and domain values; one class a subject. */
@NullMarked
package org.nettlering.wire.codec;

import org.jspecify.annotations.NullMarked;
