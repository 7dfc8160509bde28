package io.egretlock.bench.report

import org.HdrHistogram.Histogram

/** Histogram of positive values with a precision of three significant digits. */
class Distribution {
    private val histogram = Histogram(SIGNIFICANT_DIGITS)

    val count: Long
        get() = histogram.totalCount

    val mean: Double
        get() = histogram.mean / UNITS

    val median: Double
        get() = percentile(MEDIAN)

    fun add(value: Double) = histogram.recordValue((value * UNITS).toLong())

    /** Value that [percentile] percent of the values do not exceed. */
    fun percentile(percentile: Double): Double = histogram.getValueAtPercentile(percentile) / UNITS

    private companion object {
        const val SIGNIFICANT_DIGITS = 3
        const val UNITS = 1_000.0
        const val MEDIAN = 50.0
    }
}
