/** Passes the frames that other processes send to the service that answers them. */
@NullMarked
package org.nettlering.control.service;

import org.jspecify.annotations.NullMarked;
