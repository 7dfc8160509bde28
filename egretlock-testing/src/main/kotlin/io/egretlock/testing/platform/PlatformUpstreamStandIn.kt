package io.egretlock.testing.platform

import io.egretlock.platform.http.HttpRequest
import io.egretlock.platform.http.HttpResponse
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlin.random.Random

/**
 * Stands in for one incarnation of an upstream of the users' platform: starts, stops, leases, fencing tokens and lists
 * of runs.
 *
 * Each task takes [taskMillis] and one of [cores]. A run goes on for up to [LONGEST_STOP_MILLIS] after a stop was
 * accepted. Not thread-safe: one thread uses all stand-ins of one [monitor].
 */
class PlatformUpstreamStandIn(
    private val taskMillis: Long,
    private val cores: Int,
    private val monitor: RunMonitor,
    private val random: Random,
) {
    private val startedAt = System.currentTimeMillis()
    private val active = ArrayList<Run>()
    private val highestEnded = HashMap<String, Long>()
    private val ended = ArrayList<EndedRun>()
    private var lastEndSequence = 0L
    private var fencingToken = 0L
    private var leaseEndsAt = 0L
    private var hasEnded = false

    init {
        monitor.register(this)
    }

    /** Body of a heartbeat; [sequence] must increase with each heartbeat. */
    fun heartbeat(
        service: String,
        address: String,
        sequence: Long,
    ): String =
        """{"service":"$service","address":"$address","zone":"marka","version":"v1","slots":8,"state":"ready",""" +
            """"warmup_left_ms":0,"capacity":{"cpu":${cores * MILLICORES},"mem_mb":4096,"gpu":0},"labels":[],""" +
            """"clock_ms":${clock()},"born":$startedAt,"seq_no":$sequence}"""

    /** Ends the process and all its runs. Calls get no answer from then on. */
    internal fun end() {
        hasEnded = true
        active.clear()
        monitor.remove(this)
    }

    /** Answers one call. */
    suspend fun answer(request: HttpRequest): HttpResponse {
        val response = if (hasEnded) null else respond(request)
        if (response == null || hasEnded) awaitCancellation()
        return response
    }

    private suspend fun respond(request: HttpRequest): HttpResponse {
        val body = Json.parseToJsonElement(request.body.decodeToString()).jsonObject
        val token = body.getValue("fence_token").jsonPrimitive.long
        endDueRuns()
        if (token < fencingToken) return rejected("fence")
        fencingToken = token
        return when (request.path) {
            "/api/run-start" -> start(body)
            "/api/run-stop" -> stop(body)
            "/api/hold" -> hold(body)
            else -> HttpResponse(HTTP_NOT_FOUND)
        }
    }

    private fun start(body: JsonObject): HttpResponse {
        val task = body.getValue("task").jsonPrimitive.content
        val number = body.getValue("run_id").jsonPrimitive.long
        if (body.getValue("deadline_ms").jsonPrimitive.long <= clock()) return rejected("late")
        extendLease(body)
        if (active.any { it.task == task && it.number == number }) return accepted()
        if (number <= (highestEnded[task] ?: 0)) return rejected("old")
        monitor.started(task)
        active += Run(task, number, clock() + taskMillis)
        if (active.size > cores) monitor.overcommitted += task
        return accepted()
    }

    /** Whether a run of [task] is active. */
    internal fun isRunning(task: String): Boolean {
        endDueRuns()
        return active.any { it.task == task }
    }

    private fun stop(body: JsonObject): HttpResponse {
        val task = body.getValue("task").jsonPrimitive.content
        val number = body.getValue("run_id").jsonPrimitive.long
        highestEnded.merge(task, number, ::maxOf)
        val stopsAt = clock() + random.nextLong(LONGEST_STOP_MILLIS + 1)
        active.filter { it.task == task && it.number == number }.forEach { it.stopsAt = minOf(it.stopsAt, stopsAt) }
        return accepted()
    }

    private suspend fun hold(body: JsonObject): HttpResponse {
        if ("deadline_ms" in body) extendLease(body)
        val seen = body.getValue("last_seen").jsonPrimitive.long
        ended.removeIf { it.sequence <= seen }
        var waitedMillis = 0L
        val longestWaitMillis = body["wait_ms"]?.jsonPrimitive?.long ?: 0
        while (ended.isEmpty() && waitedMillis < longestWaitMillis) {
            delay(POLL_MILLIS)
            waitedMillis += POLL_MILLIS
            endDueRuns()
        }
        return HttpResponse(HTTP_OK, runLists().toString())
    }

    private fun runLists(): JsonObject =
        buildJsonObject {
            put("clock_ms", clock())
            put("born", startedAt)
            putJsonArray("active") { active.forEach { add(row(it)) } }
            putJsonArray("ended_runs") { ended.forEach { add(it.row()) } }
        }

    private fun row(run: Run) =
        Json.parseToJsonElement("""["${run.task}",${run.number},"",${progressPercent(run)},1000]""")

    private fun progressPercent(run: Run): Long =
        (FULL_PERCENT - (run.endsAt - clock()) * FULL_PERCENT / taskMillis).coerceIn(0, FULL_PERCENT)

    /** Ends the runs that have finished or are stopped, and all runs once the lease has expired. */
    private fun endDueRuns() {
        val now = clock()
        val outcomes = active.associateWith { outcome(it, now) }
        active.removeIf { outcomes[it] != null }
        outcomes.forEach { (run, outcome) -> if (outcome != null) end(run, outcome) }
    }

    private fun outcome(
        run: Run,
        now: Long,
    ): String? =
        when {
            run.endsAt <= now -> "done"
            run.stopsAt <= now -> "stopped"
            now > leaseEndsAt -> "lapsed"
            else -> null
        }

    private fun end(
        run: Run,
        outcome: String,
    ) {
        highestEnded.merge(run.task, run.number, ::maxOf)
        ended += EndedRun(++lastEndSequence, run.task, run.number, outcome)
    }

    private fun extendLease(body: JsonObject) {
        val requestedEnd = body.getValue("deadline_ms").jsonPrimitive.long
        leaseEndsAt = maxOf(leaseEndsAt, minOf(requestedEnd, clock() + LONGEST_LEASE_MILLIS))
    }

    private fun accepted() = HttpResponse(HTTP_OK, """{"clock_ms":${clock()}}""")

    private fun rejected(reason: String) = HttpResponse(HTTP_CONFLICT, """{"clock_ms":${clock()},"reason":"$reason"}""")

    private fun clock(): Long = System.currentTimeMillis() - startedAt

    private class Run(
        val task: String,
        val number: Long,
        val endsAt: Long,
    ) {
        var stopsAt = Long.MAX_VALUE
    }

    private class EndedRun(
        val sequence: Long,
        val task: String,
        val number: Long,
        val outcome: String,
    ) {
        fun row() = Json.parseToJsonElement("""[$sequence,"$task",$number,"$outcome",""]""")
    }

    private companion object {
        const val MILLICORES = 1_000
        const val HTTP_OK = 200
        const val HTTP_NOT_FOUND = 404
        const val HTTP_CONFLICT = 409
        const val POLL_MILLIS = 5L
        const val FULL_PERCENT = 100L
        const val LONGEST_LEASE_MILLIS = 1_000L
        const val LONGEST_STOP_MILLIS = 50L
    }
}
