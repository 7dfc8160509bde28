package io.egretlock.core.roster

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.junit.jupiter.api.Assertions.assertEquals

class RosterStateMachinePropertyTest {
    @Property(tries = 200)
    fun `given random faults, when jobs are offered to every entry, then each is settled by one entry at most`(
        @ForAll seed: Long,
    ) {
        val simulation = RosterSimulation(seed)
        simulation.run(FAULTY_STEPS)
        simulation.heal(HEALED_STEPS)
        val settledTwice = simulation.settlers.filterValues { it.size > 1 }
        assertEquals(emptyMap<Any, Any>(), settledTwice, "seed $seed")
    }

    @Property(tries = 30)
    fun `given random faults, when they end, then a new job has exactly one home`(
        @ForAll seed: Long,
    ) {
        val simulation = RosterSimulation(seed)
        simulation.run(FAULTY_STEPS)
        simulation.heal(HEALED_STEPS)
        assertEquals(1, simulation.homesOfNewJob().size, "seed $seed")
    }

    private companion object {
        const val FAULTY_STEPS = 600
        const val HEALED_STEPS = 400
    }
}
