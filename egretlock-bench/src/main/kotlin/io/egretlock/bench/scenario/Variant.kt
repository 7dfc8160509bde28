package io.egretlock.bench.scenario

import io.egretlock.bench.simulation.CentralQueue
import io.egretlock.bench.simulation.CreditDispatch
import io.egretlock.bench.simulation.PowerOfTwoPush
import io.egretlock.bench.simulation.RoundRobinPush
import io.egretlock.bench.simulation.Strategy
import io.egretlock.bench.simulation.StrategyContext
import io.egretlock.core.job.ServiceName
import io.egretlock.core.placement.AdmitAll
import io.egretlock.core.placement.FairDispatcherBuilder
import io.egretlock.core.placement.NoCircuitBreaker
import io.egretlock.core.placement.ShortOnlyClassifier
import io.egretlock.core.placement.TeamOrder
import io.egretlock.core.placement.fairDispatcher
import io.egretlock.core.settings.StoredTeamSettings

/** A placement strategy, with the name under which its figures are reported. */
internal class Variant(
    val name: String,
    private val create: (StrategyContext, List<StoredTeamSettings>, Long) -> Strategy,
) {
    /** Creates the strategy for one run. */
    fun strategy(
        context: StrategyContext,
        settings: List<StoredTeamSettings>,
        seed: Long,
    ): Strategy = create(context, settings, seed)

    companion object {
        /** Service of all runs. */
        val SERVICE = ServiceName("bench")

        /** Ideal to compare with: one queue for all slots, without message delays. */
        val IDEAL = Variant("ideal central queue") { context, _, _ -> CentralQueue(context) }
        val ROUND_ROBIN = Variant("round robin push") { context, _, _ -> RoundRobinPush(context) }
        val POWER_OF_TWO = Variant("power of two push") { context, _, seed -> PowerOfTwoPush(context, seed) }
        val CREDITS = credits("slot credits") { }
        val WITHOUT_CLASSES = credits("credits without class shares") { classifier = ShortOnlyClassifier() }
        val WITHOUT_ADMISSION = credits("credits without admission") { admission = AdmitAll() }
        val WITHOUT_CIRCUIT_BREAKER = credits("credits without guard") { circuitBreaker = NoCircuitBreaker() }
        val WITHOUT_FAIRNESS = credits("credits without fair order") { teamOrder = TeamOrder.FIRST_IN_FIRST_OUT }

        private fun credits(
            name: String,
            configure: FairDispatcherBuilder.() -> Unit,
        ) = Variant(name) { context, settings, _ ->
            val dispatcher = fairDispatcher(SERVICE, configure)
            settings.forEach(dispatcher::applySettings)
            CreditDispatch(context, SERVICE, dispatcher)
        }
    }
}
