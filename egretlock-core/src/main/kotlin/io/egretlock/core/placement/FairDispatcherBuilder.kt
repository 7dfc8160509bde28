package io.egretlock.core.placement

import io.egretlock.core.job.ServiceName

/** Order in which the teams' waiting tasks start. */
enum class TeamOrder {
    /** Weighted fair order among teams, with concurrency quotas. */
    FAIR,

    /** Order of arrival, without quotas; the baseline with which [FAIR] is compared. */
    FIRST_IN_FIRST_OUT,
}

/** Components of a [FairDispatcher]. */
internal class FairDispatcherComponents(
    val service: ServiceName,
    val teamOrder: TeamOrder,
    val runTimes: RunTimes,
    val classifier: TaskClassifier,
    val admission: AdmissionControl,
    val circuitBreaker: AgentCircuitBreaker,
) {
    fun newQueue(): TaskQueue =
        when (teamOrder) {
            TeamOrder.FAIR -> FairQueue()
            TeamOrder.FIRST_IN_FIRST_OUT -> FirstInFirstOutQueue()
        }
}

/** Builder of a [FairDispatcher]. The default components are those with the best benchmark results. */
class FairDispatcherBuilder internal constructor(
    private val service: ServiceName,
) {
    var teamOrder: TeamOrder = TeamOrder.FAIR
    var runTimes: RunTimes = RunTimeLearner()
    var classifier: TaskClassifier = GapClassifier()
    var admission: AdmissionControl = DeadlineAdmission()
    var circuitBreaker: AgentCircuitBreaker = FailureCircuitBreaker()

    internal fun build(): FairDispatcher =
        FairDispatcher(FairDispatcherComponents(service, teamOrder, runTimes, classifier, admission, circuitBreaker))
}

/** Builds a dispatcher for the jobs of [service] at one entry. */
fun fairDispatcher(
    service: ServiceName,
    configure: FairDispatcherBuilder.() -> Unit = {},
): Dispatcher = FairDispatcherBuilder(service).apply(configure).build()
