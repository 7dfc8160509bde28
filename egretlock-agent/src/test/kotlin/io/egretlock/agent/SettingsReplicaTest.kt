package io.egretlock.agent

import io.egretlock.core.job.TeamName
import io.egretlock.core.settings.StoredTeamSettings
import io.egretlock.core.settings.TeamSettings
import io.egretlock.protocol.SettingsRevision
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class SettingsReplicaTest {
    private val replica = SettingsReplica()
    private val haddad = TeamName("haddad")
    private val reti = TeamName("reti-etnee")

    @Test
    fun `given settings, when a lower or equal revision arrives, then nothing changes`() {
        assertEquals(listOf(SettingsRevision(haddad, 5)), replica.apply(listOf(stored(haddad, 5))))
        assertEquals(emptyList<SettingsRevision>(), replica.apply(listOf(stored(haddad, 4), stored(haddad, 5))))
        assertEquals(listOf(SettingsRevision(haddad, 5)), replica.revisions)
    }

    @Test
    fun `given two revisions at once in any order, when applied, then the highest is in force`() {
        assertEquals(
            listOf(SettingsRevision(haddad, 7)),
            replica.apply(listOf(stored(haddad, 7), stored(haddad, 6))),
        )
        assertEquals(listOf(stored(haddad, 7)), replica.all)
    }

    @Test
    fun `given another process with older or no settings, when compared, then the newer ones are found`() {
        replica.apply(listOf(stored(haddad, 7), stored(reti, 3)))
        assertEquals(listOf(stored(haddad, 7)), replica.newerThan(listOf(stored(haddad, 6), stored(reti, 3))))
        assertEquals(listOf(stored(haddad, 7), stored(reti, 3)), replica.newerThan(emptyList()))
    }

    private fun stored(
        team: TeamName,
        revision: Long,
    ) = StoredTeamSettings(revision, TeamSettings(team))
}
