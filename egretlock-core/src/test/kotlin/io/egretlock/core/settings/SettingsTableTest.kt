package io.egretlock.core.settings

import io.egretlock.core.job.TeamName
import org.jetbrains.lincheck.datastructures.IntGen
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions
import org.jetbrains.lincheck.datastructures.Operation
import org.jetbrains.lincheck.datastructures.Param
import org.jetbrains.lincheck.datastructures.StressOptions
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class SettingsTableTest {
    @Test
    fun `given a revision in force, when lower and equal ones are offered, then they are ignored`() {
        val table = SettingsTable()
        val newest = stored("haddad", revision = 7, weight = 2.0)
        table.apply(listOf(newest))
        val offered = listOf(stored("haddad", revision = 6, weight = 1.0), stored("haddad", revision = 7, weight = 3.0))
        assertEquals(emptyList<StoredTeamSettings>(), table.apply(offered))
        assertEquals(newest, table.settingsOf(TeamName("haddad")))
    }

    @Test
    fun `given revisions of two teams, when offered, then each is compared with that of its own team`() {
        val table = SettingsTable()
        table.apply(listOf(stored("haddad", revision = 7)))
        val other = stored("reti-etnee", revision = 3)
        assertEquals(listOf(other), table.apply(listOf(other)))
        assertEquals(listOf(7L, 3L), table.all().map { it.revision })
        assertEquals(7, table.highestRevision())
    }

    @Test
    fun `given one team twice, when offered in any order, then the highest revision is applied`() {
        val table = SettingsTable()
        val newest = stored("haddad", revision = 9)
        assertEquals(listOf(newest), table.apply(listOf(newest, stored("haddad", revision = 8))))
    }

    @Test
    fun `given concurrent callers, when they apply and read, then some serial order explains all results`() =
        StressOptions()
            .iterations(ITERATIONS)
            .invocationsPerIteration(INVOCATIONS)
            .threads(2)
            .actorsPerThread(2)
            .check(TableOperations::class)

    @Test
    fun `given every interleaving, when callers apply and read, then some serial order explains all results`() =
        ModelCheckingOptions()
            .iterations(ITERATIONS)
            .invocationsPerIteration(INTERLEAVINGS)
            .threads(2)
            .actorsPerThread(2)
            .check(TableOperations::class)

    /** Operations of the table that Lincheck runs concurrently. */
    @Param(name = "revision", gen = IntGen::class, conf = "1:4")
    class TableOperations {
        private val table = SettingsTable()

        @Operation
        fun apply(
            @Param(name = "revision") revision: Int,
        ): List<Long> = table.apply(listOf(stored("haddad", revision.toLong()))).map { it.revision }

        @Operation
        fun applyTwoTeams(
            @Param(name = "revision") revision: Int,
        ): List<Long> =
            table
                .apply(listOf(stored("haddad", revision.toLong()), stored("reti-etnee", revision.toLong())))
                .map { it.revision }

        @Operation
        fun all(): List<Long> = table.all().map { it.revision }
    }

    private companion object {
        const val ITERATIONS = 20
        const val INVOCATIONS = 5_000
        const val INTERLEAVINGS = 200
    }
}

private fun stored(
    team: String,
    revision: Long,
    weight: Double = 1.0,
): StoredTeamSettings = StoredTeamSettings(revision, TeamSettings(TeamName(team), weight))
