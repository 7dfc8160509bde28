package io.egretlock.testing.soak

/**
 * One run of the soak.
 *
 * @property seed decides which faults come when. Processes and the network take their own time, so that a run repeats
 * its faults but not each of its instants.
 * @property faultMillis time in which faults begin.
 * @property recoveryMillis time after the last fault in which all jobs must be completed again.
 * @property longestAnswerMillis time in which every request must have an answer, or the end of its connection.
 */
data class SoakSettings(
    val seed: Long,
    val faultMillis: Long,
    val entryCount: Int = 3,
    val agentCount: Int = 4,
    val callerCount: Int = 6,
    val recoveryMillis: Long = RECOVERY_MILLIS,
    val longestAnswerMillis: Long = LONGEST_ANSWER_MILLIS,
) {
    companion object {
        /** Nine tenths of the service are back 8 s after the instances: the issues' target. */
        const val RECOVERY_MILLIS = 8_000L

        /**
         * A caller's time, three times its latency objective of 1080 ms, the longest pause of an entry, 2500 ms, and a
         * second.
         */
        const val LONGEST_ANSWER_MILLIS = 6_740L
    }
}
