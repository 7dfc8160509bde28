package io.egretlock.testing.settings

import io.egretlock.testing.proof.SERVICE
import io.egretlock.testing.proof.TEAM
import io.egretlock.testing.proof.sharedSmallSystem
import io.egretlock.testing.system.Await
import io.egretlock.testing.system.EntryNode
import io.egretlock.testing.system.OperatorClient
import io.egretlock.testing.system.TestSystem
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.extension.RegisterExtension

/** The settings routes of real entries. */
class SettingsRoutesTest {
    private val client = SettingsClient(TEAM)
    private val first = system.entries.first().operatorsAddress
    private val second = system.entries.last().operatorsAddress
    private val agents = system.agents.map { it.operatorsAddress }

    @Test
    fun `given no token, a wrong one or another team's, when settings are read or edited, then 401`() {
        val unauthorized = listOf(null, "wrong", EntryNode.tokenOf("haddad")).map { SettingsClient(TEAM, it) }
        assertEquals(List(3) { 401 }, unauthorized.map { it.get(first).status })
        assertEquals(List(3) { 401 }, unauthorized.map { it.put(first, "\"0\"", settings(concurrency = 1)).status })
    }

    @Test
    fun `given no or a malformed condition, when edited, then 428 or 400`() {
        assertEquals(428, client.put(first, null, settings(concurrency = 1)).status)
        assertEquals(400, client.put(first, "*", settings(concurrency = 1)).status)
    }

    @Test
    fun `given settings with faults, when edited, then 422 reports every path and nothing is stored`() {
        val before = storedSettings()
        val body = """{"team":"$TEAM","wieght":2,"services":[{"name":"a b","concurrency":"5 tasks"}]}"""
        val reply = client.put(first, client.get(first).entityTag, body)
        val faults = reply.json.getValue("faults").jsonArray
        val paths =
            faults.map {
                it.jsonObject
                    .getValue("path")
                    .jsonPrimitive.content
            }
        assertEquals(422, reply.status)
        assertEquals(listOf("services[0].concurrency", "wieght", "services[0].name"), paths)
        assertEquals(before, storedSettings())
    }

    @Test
    fun `given YAML as read, when put back at its revision, then it is accepted and in force everywhere`() {
        val read = client.get(first, "application/yaml")
        val reply = client.put(first, read.entityTag, read.body, "application/yaml")
        assertEquals(200, reply.status) { reply.body }
        awaitInForce(checkNotNull(reply.revision))
        assertEquals(read.body, client.get(second, "application/yaml").body)
    }

    @Test
    fun `given an older revision, when edited, then 412 reports the current one`() {
        val old = client.get(first).entityTag
        val current = client.put(first, old, settings(concurrency = 50)).entityTag
        val reply = client.put(second, old, settings(concurrency = 60))
        assertEquals(412, reply.status)
        assertEquals(current, reply.entityTag)
        assertEquals(current?.trim('"'), reply.text("currentRevision"))
        assertEquals("no", reply.text("stored"))
    }

    @Test
    fun `given a lost answer of the store, when edited, then it is accepted and in force everywhere`() {
        system.store.faults = system.store.faults.copy(lostAnswers = 1)
        val reply = editUntilAccepted(concurrency = 70)
        awaitInForce(checkNotNull(reply.revision))
    }

    @Test
    fun `given logs and dumps, when searched, then they contain no token`() {
        val dumps = system.entries.map { OperatorClient().dump(it.operatorsAddress) }
        val logs = system.entries.map { it.process.logText() }
        assertFalse((dumps + logs).any { EntryNode.tokenOf(TEAM) in it })
    }

    /** Retries, since a write of the roster to the same store may consume the lost answer first. */
    private fun editUntilAccepted(concurrency: Int): SettingsReply {
        lateinit var reply: SettingsReply
        Await.until("an edit is accepted") {
            reply = client.put(first, client.get(first).entityTag, settings(concurrency))
            reply.status == 200
        }
        return reply
    }

    /** All settings in the store with their revisions, without the roster, which entries may publish meanwhile. */
    private fun storedSettings() = system.store.history.read("/egretlock/settings/", "/egretlock/settings0")

    private fun awaitInForce(revision: Long) =
        Await.until("revision $revision is in force", timeoutMillis = IN_FORCE_MILLIS) {
            (listOf(first, second) + agents).all { process ->
                (client.revisionInForce(process) ?: 0) >= revision
            }
        }

    private fun settings(concurrency: Int): String =
        """{"team":"$TEAM","services":[{"name":"$SERVICE","concurrency":$concurrency}]}"""

    private companion object {
        const val IN_FORCE_MILLIS = 6_000L

        @JvmField
        @RegisterExtension
        val shared = sharedSmallSystem()

        val system: TestSystem
            get() = shared.value
    }
}
