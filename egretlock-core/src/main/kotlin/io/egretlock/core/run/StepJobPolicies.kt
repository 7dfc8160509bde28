package io.egretlock.core.run

import kotlin.random.Random

/** Policies of a [StepJobScheduler]. */
data class StepJobPolicies(
    val order: WaitingOrder,
    val choice: AgentChoice,
    val admission: WaitAdmission,
    val reserve: RoomReserve,
) {
    companion object {
        /** Returns the policies that entries use. Each entry has its own [random]. */
        fun default(random: Random): StepJobPolicies =
            StepJobPolicies(
                RelativeSizeOrder(),
                SlowestSufficientAgent(random),
                SlackAdmission(),
                ShortTaskReserve(),
            )

        /**
         * Returns the baseline: first come, first served, without admission control, on the agent with the most free
         * room.
         */
        fun baseline(): StepJobPolicies =
            StepJobPolicies(ArrivalOrder(), MostFreeAgent(), AdmitWithoutWaitLimit(), NoReserve())
    }
}
