package io.egretlock.testing.proof

import io.egretlock.testing.client.JobIds
import io.egretlock.testing.client.JobRequest
import io.egretlock.testing.client.JobTask
import io.egretlock.testing.system.SystemBuilder
import io.egretlock.testing.upstream.UpstreamStandInOptions
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlin.random.Random

internal const val TEAM = "reti-etnee"
internal const val SERVICE = "net-check"

/** Generates ids and jobs for tests; no two ids are equal. */
internal object Jobs {
    private val ids = JobIds(Random.Default)

    fun id(): String = ids.next()

    fun job(
        tasks: Int,
        runMillis: Int = 50,
        deadlineMillis: Long = 15_000,
    ) = JobRequest(TEAM, SERVICE, deadlineMillis, List(tasks) { JobTask("tear-check", true, payload(it, runMillis)) })

    private fun payload(
        photo: Int,
        runMillis: Int,
    ): JsonObject =
        buildJsonObject {
            put("photo", photo)
            put("runMillis", runMillis)
        }
}

/** Two entries and two agents in two failure domains. */
internal fun SystemBuilder.smallSystem(slots: Int = 8) {
    failureDomain("etna-nord") {
        entry("entry-1")
        agent("agent-1", UpstreamStandInOptions(SERVICE, slots))
    }
    failureDomain("nebrodi") {
        entry("entry-2")
        agent("agent-2", UpstreamStandInOptions(SERVICE, slots))
    }
    team(TEAM, SERVICE)
}
