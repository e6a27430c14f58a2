/**
 * The operator program {@code nettlering}: profiles, services, teams, the power cap, jobs, members, and explanations.
 *
 * <p>{@code operator.command} holds the command line, {@code operator.client} the calls of the entries, {@code
 * operator.output} the tables. Talks to the operators' port of the entries alone.
 */
@NullMarked
package org.nettlering.operator;

import org.jspecify.annotations.NullMarked;
