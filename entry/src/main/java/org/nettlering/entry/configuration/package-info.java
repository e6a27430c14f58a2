/** Follows the replicated configuration and knows whether the copy here is fresh. */
@NullMarked
package org.nettlering.entry.configuration;

import org.jspecify.annotations.NullMarked;
