package io.egretlock.testing.soak

/**
 * Settings of one run of the soak test.
 *
 * @property seed seed of the faults and their times. Processes and the network are not deterministic, so runs with the
 * same seed have the same faults, but not the same timing.
 * @property faultMillis time during which faults start.
 * @property faultKinds kinds of the faults, chosen with equal odds.
 * @property recoveryMillis time after the last fault within which jobs must be completed again.
 * @property longestAnswerMillis time within which every request must be answered or its connection closed.
 */
data class SoakSettings(
    val seed: Long,
    val faultMillis: Long,
    val entryCount: Int = 3,
    val agentCount: Int = 4,
    val callerCount: Int = 24,
    val faultKinds: List<SoakFaultKind> = SoakFaultKind.entries,
    val recoveryMillis: Long = RECOVERY_MILLIS,
    val longestAnswerMillis: Long = LONGEST_ANSWER_MILLIS,
) {
    companion object {
        /** Target of the issues: nine tenths of the service are available again 8 s after the instances are. */
        const val RECOVERY_MILLIS = 8_000L

        /**
         * Sum of a caller's timeout (three times its latency objective of 1080 ms), the longest pause of an entry
         * (2500 ms) and a margin of 1 s.
         */
        const val LONGEST_ANSWER_MILLIS = 6_740L
    }
}
