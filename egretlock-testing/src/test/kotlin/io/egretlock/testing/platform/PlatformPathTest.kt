package io.egretlock.testing.platform

import io.egretlock.testing.system.ProcessSignal
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Entries and agents as processes, with stand-ins for the users' platform. */
class PlatformPathTest {
    private var platform = PlatformStandIn()

    @AfterEach
    fun stop() = platform.close()

    private fun id(number: Int) = "%016x".format(number)

    @Test
    fun `given a calm platform, when jobs come, then each is completed and its tasks start once`() =
        runBlocking {
            platform.start()
            val answers = (1..5).map { async { platform.submit(id(it), tasks = 3) } }.map { it.await() }
            assertEquals(List(5) { """{"state":"completed"}""" }, answers.map { it?.body })
            assertEquals(
                15,
                platform.runMonitor.started
                    .toSet()
                    .size,
            )
            assertEquals(15, platform.runMonitor.started.size)
        }

    @Test
    fun `given unreadable and foreign heartbeats, when jobs come, then the upstream that holds is used`() =
        runBlocking {
            platform.start()
            assertEquals(HTTP_BAD_REQUEST, platform.heartbeat("u-2", "{"))
            assertEquals(HTTP_BAD_REQUEST, platform.heartbeat("u-2", """{"service":7}"""))
            assertEquals(HTTP_OK, platform.submit(id(1))?.status)
        }

    /** Guards against an agent that ignores its own upstream for good after a later heartbeat of another one. */
    @Test
    fun `given a later heartbeat of another upstream, when jobs come, then the own upstream is used`() =
        runBlocking {
            platform.start()
            assertEquals(HTTP_OK, platform.submit(id(1))?.status)
            val other =
                """{"service":"other","address":"127.0.0.99:9","state":"ready","capacity":{"cpu":1},""" +
                    """"born":9000000000000,"seq_no":1}"""
            assertEquals(HTTP_OK, platform.heartbeat("u-other", other))
            delay(RESEND_MILLIS)
            assertEquals(HTTP_OK, platform.submit(id(2))?.status)
        }

    @Test
    fun `given odd entries that are written again and again, when jobs come, then no process ends and jobs complete`() =
        runBlocking {
            platform.start()
            repeat(ODD_ROUNDS) { round ->
                writeOddEntries(round)
                assertEquals("""{"state":"completed"}""", platform.submit(id(round))?.body)
            }
            platform.configure(version = 7, "/other/")
            platform.awaitUntil { platform.submit(id(ODD_ROUNDS), prefix = "/other/")?.status == HTTP_OK }
            assertTrue(platform.nodes.all { it.process.isAlive })
        }

    private suspend fun writeOddEntries(round: Int) {
        for (value in oddValues) {
            platform.store.put("egretlock/entries/odd-$round", value)
            platform.store.putEncoded("egretlock/entries/broken-$round", value)
            platform.store.put("op/config", value)
            assertEquals(HTTP_BAD_REQUEST, platform.heartbeat("u-odd", value))
        }
    }

    @Test
    fun `given a store that is down and an agent that was killed, when jobs come, then they are completed`() =
        runBlocking {
            platform.start()
            platform.submit(id(1))
            platform.store.isDown = true
            platform.agents
                .single()
                .node
                .signal(ProcessSignal.KILL)
            platform.agents
                .single()
                .node
                .start()
            assertEquals("""{"state":"completed"}""", platform.submit(id(2))?.body)
            assertEquals(emptyList<String>(), platform.runMonitor.overlaps)
        }

    @Test
    fun `given a newer configuration, when it is stored, then its routes serve and removed ones do not exist`() =
        runBlocking {
            platform.start()
            platform.configure(version = 7, "/other/")
            platform.awaitUntil { platform.submit(id(1), prefix = "/other/")?.status == HTTP_OK }
            assertEquals(HTTP_NOT_FOUND, platform.submit(id(2))?.status)
            platform.configure(version = 6)
            platform.submit(id(3), prefix = "/other/")
            assertEquals(HTTP_NOT_FOUND, platform.submit(id(4))?.status)
        }

    @Test
    fun `given a job at work, when the entry is asked to stop, then the job is answered and readiness ends`() {
        platform = PlatformStandIn(taskMillis = 1_500)
        runBlocking {
            platform.start()
            val job = async { platform.submit(id(1)) }
            platform.awaitUntil { platform.runMonitor.started.isNotEmpty() }
            platform.entries
                .single()
                .node
                .signal(ProcessSignal.TERM)
            platform.awaitUntil { platform.readiness() != HTTP_OK }
            assertEquals("""{"state":"completed"}""", job.await()?.body)
        }
    }

    @Test
    fun `given a job at work, when its entry is killed and it comes again, then no task runs twice at a time`() {
        platform = PlatformStandIn(taskMillis = 1_500)
        runBlocking {
            platform.start()
            val lost = async { platform.submit(id(1)) }
            platform.awaitUntil { platform.runMonitor.started.isNotEmpty() }
            platform.entries
                .single()
                .node
                .signal(ProcessSignal.KILL)
            assertEquals(null, lost.await())
            platform.entries
                .single()
                .node
                .start()
            platform.awaitUntil { platform.readiness() == HTTP_OK }
            assertEquals("""{"state":"completed"}""", platform.submit(id(1))?.body)
            assertTrue(platform.runMonitor.overlaps.isEmpty())
        }
    }

    /** Guards against two runs of a task when a second entry gets a job that the first one still works on. */
    @Test
    fun `given a job at work, when another entry gets it too, then no task runs twice at a time`() {
        platform = PlatformStandIn(taskMillis = 3_000, entryCount = 2, agentCount = 3)
        runBlocking {
            platform.start()
            val first = async { platform.submit(id(1), tasks = 4, entry = platform.entries.first()) }
            platform.awaitUntil { platform.runMonitor.started.isNotEmpty() }
            delay(RESEND_MILLIS)
            val second = async { platform.submit(id(1), tasks = 4, entry = platform.entries.last()) }
            first.await()
            second.await()
            assertEquals(emptyList<String>(), platform.runMonitor.overlaps)
        }
    }

    /** Guards against an entry that wakes from a standstill and places a job that another entry has got meanwhile. */
    @Test
    fun `given a job at work, when its entry stands still and another gets it, then no task runs twice at a time`() {
        platform = PlatformStandIn(taskMillis = 7_500, entryCount = 3, agentCount = 8)
        runBlocking {
            platform.start()
            val first = async { platform.submit(id(1), tasks = 1, entry = platform.entries.first()) }
            platform.awaitUntil { platform.runMonitor.started.isNotEmpty() }
            delay(RESEND_MILLIS)
            val node = platform.entries.first().node
            node.signal(ProcessSignal.STOP)
            delay(KEEP_ALIVE_MILLIS + RESEND_MILLIS)
            val second = async { platform.submit(id(1), tasks = 1, entry = platform.entries.last()) }
            platform.awaitUntil { platform.runMonitor.started.size > 1 }
            node.signal(ProcessSignal.CONT)
            assertEquals("""{"state":"completed"}""", second.await()?.body)
            first.await()
            assertEquals(emptyList<String>(), platform.runMonitor.overlaps)
        }
    }

    private companion object {
        /** Time after which a caller with keep-alive probes of a second notices that its connection is dead. */
        const val KEEP_ALIVE_MILLIS = 2_500L

        /** Time after which callers submit a job again that got no answer. */
        const val RESEND_MILLIS = 1_300L
        const val HTTP_OK = 200
        const val HTTP_BAD_REQUEST = 400
        const val HTTP_NOT_FOUND = 404
        const val ODD_ROUNDS = 10
        const val LEVELS = 20_000
        const val REPORT = """{"service":"s","address":"10.0.0.9:80","state":"ready","seq_no":1,"capacity":"""

        val oddValues =
            listOf(
                "",
                "[".repeat(LEVELS) + "]".repeat(LEVELS),
                "{\"a\":".repeat(LEVELS) + "0" + "}".repeat(LEVELS),
                "10.0.0.9:99999",
                "10.0.0.9:99999999999999999999999999",
                "999.0.0.9:80",
                "$REPORT{\"cpu\":99999999999999999999999999}}",
                "$REPORT{\"cpu\":9223372036854775807}}",
                "$REPORT{\"cpu\":-5}}",
                "$REPORT${"[".repeat(LEVELS)}",
                """{"version":9223372036854775808,"routes":[]}""",
                """{"version":99,"routes":[{"name":"q","host":"h","prefix":"/","service":"s","attempts":99999999999}]}""",
            )
    }
}
