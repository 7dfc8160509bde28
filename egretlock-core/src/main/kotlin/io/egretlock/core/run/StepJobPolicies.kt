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
        /** The policies in use; entries draw with [random]s of their own. */
        fun standard(random: Random = Random.Default): StepJobPolicies =
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
