/**
 * The benchmarks behind the figures in the documents.
 *
 * <p>{@link org.nettlering.benchmarks.BenchmarkMain} runs one by name; each prints the table that a page quotes.
 */
@NullMarked
package org.nettlering.benchmarks;

import org.jspecify.annotations.NullMarked;
