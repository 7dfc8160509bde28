package io.egretlock.core.run

import kotlin.random.Random

/** The decisions of a [StepJobHome] that can be exchanged. */
data class StepJobPolicies(
    val order: WaitingOrder,
    val choice: AgentChoice,
    val admission: WaitAdmission,
    val reserve: RoomReserve,
) {
    companion object {
        /** The policies in use. Each entry draws with a [random] of its own. */
        fun standard(random: Random): StepJobPolicies =
            StepJobPolicies(
                RelativeSizeOrder(),
                SlowestSufficientAgent(random),
                SlackAdmission(),
                ShortTaskReserve(),
            )

        /** First come first served, without admission, to the agent with the most room. */
        fun baseline(): StepJobPolicies =
            StepJobPolicies(ArrivalOrder(), MostFreeAgent(), OpenWaitAdmission(), NoReserve())
    }
}
