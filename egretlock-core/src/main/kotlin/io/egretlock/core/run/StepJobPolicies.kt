package io.egretlock.core.run

import io.egretlock.core.job.FailureDomain

/** The decisions of a [StepJobHome] that can be exchanged. */
data class StepJobPolicies(
    val order: WaitingOrder,
    val choice: AgentChoice,
    val admission: WaitAdmission,
    val reserve: RoomReserve,
) {
    companion object {
        /** The policies in use for an entry in [ownDomain]. */
        fun standard(ownDomain: FailureDomain): StepJobPolicies =
            StepJobPolicies(
                RelativeSizeOrder(),
                SlowestSufficientAgent(ownDomain),
                SlackAdmission(),
                ShortTaskReserve(),
            )

        /** First come first served, without admission, to the agent with the most room. */
        fun baseline(): StepJobPolicies =
            StepJobPolicies(ArrivalOrder(), MostFreeAgent(), OpenWaitAdmission(), NoReserve())
    }
}
