package io.egretlock.testing.upstream

import io.javalin.Javalin
import io.javalin.http.Context
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/**
 * Characteristics of an upstream stand-in.
 *
 * @property slots number of tasks that it announces to run at once.
 * @property connections number of connections that it announces to accept at once.
 * @property speed factor by which run times are divided.
 */
data class UpstreamStandInOptions(
    val service: String,
    val slots: Int = 8,
    val connections: Int = 64,
    val speed: Double = 1.0,
)

/**
 * A small HTTP upstream for tests: runs each task for the run time in its payload, echoes the payload, and records
 * every start by task id.
 *
 * @param port TCP port on loopback; 0 takes a free one.
 * @param onStart called for each start before the task runs.
 */
class UpstreamStandIn(
    val traits: UpstreamStandInOptions,
    port: Int = 0,
    private val onStart: (TaskStart) -> Unit = {},
) : AutoCloseable {
    private val recorded = ConcurrentLinkedQueue<TaskStart>()
    private val running = ConcurrentHashMap<String, CompletableFuture<TaskEnd>>()
    private val runningTaskCount = AtomicInteger()
    private val peakTaskCount = AtomicInteger()
    private val timer = Executors.newSingleThreadScheduledExecutor { Thread(it).apply { isDaemon = true } }
    private val server: Javalin

    /** Treatment of the tasks that start from now on. */
    @Volatile
    var mode: UpstreamMode = UpstreamMode.NORMAL

    /** All starts so far, in order of arrival. */
    val starts: List<TaskStart>
        get() = recorded.toList()

    /** Largest number of tasks that have run at once so far. */
    val peakRunningCount: Int
        get() = peakTaskCount.get()

    /** Number of tasks that are running. */
    val runningCount: Int
        get() = runningTaskCount.get()

    init {
        server =
            Javalin
                .create { config ->
                    config.startup.showJavalinBanner = false
                    config.routes.post("/tasks/{task}", ::start)
                    config.routes.delete("/tasks/{task}", ::stop)
                    config.routes.get("/starts") { context -> respond(context, HTTP_OK, Json.encodeToString(starts)) }
                    config.routes.put("/mode") { context -> mode = Json.decodeFromString(context.body()) }
                }.start(LOOPBACK, port)
    }

    /** URL at which the stand-in accepts tasks. */
    val address: String = "http://$LOOPBACK:${server.port()}"

    /** Announcement of the stand-in to its agent. */
    val announcement: Announcement
        get() = Announcement(traits.service, traits.slots, traits.connections, address)

    override fun close() {
        timer.shutdownNow()
        server.stop()
    }

    private fun start(context: Context) {
        val task = context.pathParam("task")
        val request = Json.decodeFromString<TaskRequest>(context.body())
        val taskStart = TaskStart(task, request.operation, System.currentTimeMillis())
        recorded += taskStart
        onStart(taskStart)
        peakTaskCount.accumulateAndGet(runningTaskCount.incrementAndGet(), ::maxOf)
        val end = CompletableFuture<TaskEnd>()
        running[task] = end
        schedule(request, end)
        context.future {
            end.thenAccept { reached ->
                running.remove(task, end)
                runningTaskCount.decrementAndGet()
                answer(context, reached, task, request)
            }
        }
    }

    private fun schedule(
        request: TaskRequest,
        end: CompletableFuture<TaskEnd>,
    ) {
        when (mode) {
            UpstreamMode.NORMAL -> endAfter(request.runMillis / traits.speed, end)
            UpstreamMode.SLOW -> endAfter(request.runMillis * SLOW_FACTOR / traits.speed, end)
            UpstreamMode.FAIL -> end.complete(TaskEnd.FAILED)
            UpstreamMode.HANG -> Unit
        }
    }

    private fun endAfter(
        runMillis: Double,
        end: CompletableFuture<TaskEnd>,
    ) {
        timer.schedule(
            { end.complete(TaskEnd.ANSWERED) },
            (runMillis * MICROS_PER_MILLI).toLong(),
            TimeUnit.MICROSECONDS,
        )
    }

    private fun answer(
        context: Context,
        end: TaskEnd,
        task: String,
        request: TaskRequest,
    ) {
        when (end) {
            TaskEnd.ANSWERED -> respond(context, HTTP_OK, Json.encodeToString(TaskAnswer(task, request.payload)))
            TaskEnd.FAILED -> respond(context, HTTP_ERROR, Json.encodeToString(TaskFailure("failed on purpose")))
            TaskEnd.STOPPED -> respond(context, HTTP_GONE, Json.encodeToString(TaskFailure("stopped")))
        }
    }

    private fun stop(context: Context) {
        val wasRunning = running[context.pathParam("task")]?.complete(TaskEnd.STOPPED) ?: false
        context.status(if (wasRunning) HTTP_NO_CONTENT else HTTP_NOT_FOUND)
    }

    private fun respond(
        context: Context,
        status: Int,
        body: String,
    ) {
        context.status(status).contentType("application/json").result(body)
    }

    private enum class TaskEnd { ANSWERED, FAILED, STOPPED }

    private companion object {
        const val LOOPBACK = "127.0.0.1"
        const val SLOW_FACTOR = 10
        const val MICROS_PER_MILLI = 1_000
        const val HTTP_OK = 200
        const val HTTP_NO_CONTENT = 204
        const val HTTP_NOT_FOUND = 404
        const val HTTP_GONE = 410
        const val HTTP_ERROR = 500
    }
}
