/** The stand-in for a worker; it reports to entries and runs tasks under the leases it gets. */
@NullMarked
package org.nettlering.standins.worker;

import org.jspecify.annotations.NullMarked;
