/** A local copy of the replicated configuration that tracks its freshness. */
@NullMarked
package org.nettlering.entry.configuration;

import org.jspecify.annotations.NullMarked;
