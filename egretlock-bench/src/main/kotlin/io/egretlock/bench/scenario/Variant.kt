package io.egretlock.bench.scenario

import io.egretlock.bench.simulation.CentralQueue
import io.egretlock.bench.simulation.CreditDispatch
import io.egretlock.bench.simulation.PowerOfTwoPush
import io.egretlock.bench.simulation.RoundRobinPush
import io.egretlock.bench.simulation.Strategy
import io.egretlock.bench.simulation.Workplace
import io.egretlock.core.job.ServiceName
import io.egretlock.core.placement.FairDispatcherBuilder
import io.egretlock.core.placement.NoGuard
import io.egretlock.core.placement.OpenAdmission
import io.egretlock.core.placement.SingleClassifier
import io.egretlock.core.placement.TeamOrder
import io.egretlock.core.placement.fairDispatcher
import io.egretlock.core.settings.StoredTeamSettings

/** A way to place tasks, by the name under which its figures appear. */
internal class Variant(
    val name: String,
    private val create: (Workplace, List<StoredTeamSettings>, Long) -> Strategy,
) {
    /** Makes the strategy for one run. */
    fun strategy(
        workplace: Workplace,
        settings: List<StoredTeamSettings>,
        seed: Long,
    ): Strategy = create(workplace, settings, seed)

    companion object {
        /** Service that every run uses. */
        val SERVICE = ServiceName("bench")

        /** The ideal: one queue for all slots, without delays. */
        val IDEAL = Variant("ideal central queue") { workplace, _, _ -> CentralQueue(workplace) }
        val ROUND_ROBIN = Variant("round robin push") { workplace, _, _ -> RoundRobinPush(workplace) }
        val POWER_OF_TWO = Variant("power of two push") { workplace, _, seed -> PowerOfTwoPush(workplace, seed) }
        val CREDITS = credits("slot credits") { }
        val WITHOUT_CLASSES = credits("credits without class shares") { classifier = SingleClassifier() }
        val WITHOUT_ADMISSION = credits("credits without admission") { admission = OpenAdmission() }
        val WITHOUT_GUARD = credits("credits without guard") { guard = NoGuard() }
        val WITHOUT_FAIRNESS = credits("credits without fair order") { teamOrder = TeamOrder.FIRST_IN_FIRST_OUT }

        private fun credits(
            name: String,
            configure: FairDispatcherBuilder.() -> Unit,
        ) = Variant(name) { workplace, settings, _ ->
            val dispatcher = fairDispatcher(SERVICE, configure)
            settings.forEach(dispatcher::applySettings)
            CreditDispatch(workplace, SERVICE, dispatcher)
        }
    }
}
