/**
 * Pure decisions of the scheduler and the ports they need.
 *
 * <p>Nothing in this module opens a file, a socket or a thread. The sub-packages hold one subject each; the adapters in
 * the {@code control} and {@code entry} modules call them.
 */
@NullMarked
package org.nettlering.domain;

import org.jspecify.annotations.NullMarked;
