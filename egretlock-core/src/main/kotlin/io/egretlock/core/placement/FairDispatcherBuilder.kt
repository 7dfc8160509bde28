package io.egretlock.core.placement

import io.egretlock.core.job.ServiceName

/** Order in which the teams' waiting tasks start. */
enum class TeamOrder {
    /** Weighted fair order with concurrency quotas. */
    FAIR,

    /** By arrival, without quotas: the baseline. */
    FIRST_IN_FIRST_OUT,
}

/** Parts of a [FairDispatcher]. */
internal class FairDispatcherParts(
    val service: ServiceName,
    val teamOrder: TeamOrder,
    val runTimes: RunTimes,
    val classifier: TaskClassifier,
    val admission: AdmissionControl,
    val guard: AgentGuard,
) {
    fun newQueue(): TaskQueue =
        when (teamOrder) {
            TeamOrder.FAIR -> FairQueue()
            TeamOrder.FIRST_IN_FIRST_OUT -> FirstInFirstOutQueue()
        }
}

/** Chooses the parts of a [FairDispatcher]; each default is the part that measured best. */
class FairDispatcherBuilder internal constructor(
    private val service: ServiceName,
) {
    var teamOrder: TeamOrder = TeamOrder.FAIR
    var runTimes: RunTimes = RunTimeLearner()
    var classifier: TaskClassifier = GapClassifier()
    var admission: AdmissionControl = DeadlineAdmission()
    var guard: AgentGuard = FailureGuard()

    internal fun build(): FairDispatcher =
        FairDispatcher(FairDispatcherParts(service, teamOrder, runTimes, classifier, admission, guard))
}

/** Builds a dispatcher for the jobs of [service] at one entry. */
fun fairDispatcher(
    service: ServiceName,
    configure: FairDispatcherBuilder.() -> Unit = {},
): Dispatcher = FairDispatcherBuilder(service).apply(configure).build()
