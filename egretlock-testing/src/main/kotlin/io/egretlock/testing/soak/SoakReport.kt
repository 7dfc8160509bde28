package io.egretlock.testing.soak

/**
 * What a soak saw.
 *
 * @property answers number of answers to callers by HTTP status; 0 stands for connections that ended without one.
 * @property violations promises that were broken, one line each.
 */
data class SoakReport(
    val settings: SoakSettings,
    val faults: List<String>,
    val answers: Map<Int, Int>,
    val violations: List<String>,
)
