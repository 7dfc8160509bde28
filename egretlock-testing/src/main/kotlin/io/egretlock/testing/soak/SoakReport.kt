package io.egretlock.testing.soak

/**
 * Result of one run of the soak test.
 *
 * @property answers number of answers to callers by HTTP status; 0 counts requests without an answer.
 * @property violations guarantees that did not hold, one line each.
 */
data class SoakReport(
    val settings: SoakSettings,
    val faults: List<String>,
    val answers: Map<Int, Int>,
    val violations: List<String>,
)
