/** The replicated configuration in the control process, and the service that entries ask for it. */
@NullMarked
package org.nettlering.control.configuration;

import org.jspecify.annotations.NullMarked;
