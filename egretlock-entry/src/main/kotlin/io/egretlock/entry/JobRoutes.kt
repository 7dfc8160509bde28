package io.egretlock.entry

import com.github.michaelbull.result.fold
import io.egretlock.core.job.CreationTime
import io.egretlock.core.job.JobId
import io.egretlock.core.job.JobOutcome
import io.egretlock.core.job.Reason
import io.egretlock.core.job.Verdict
import io.egretlock.protocol.JobState
import io.javalin.config.JavalinConfig
import io.javalin.http.Context
import io.javalin.http.HttpResponseException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.future.future
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import java.util.concurrent.CompletableFuture

/** HTTP routes for callers: submit, query and cancel jobs. */
internal class JobRoutes(
    private val router: JobRouter,
    private val drain: Drain,
    private val metrics: EntryMetrics,
    private val scope: CoroutineScope,
    private val reader: JobReader = JobReader(),
) {
    /** Adds the routes to a server. */
    fun addTo(config: JavalinConfig) {
        config.routes.put(PATH) { context -> counted(context) { submit(context) } }
        config.routes.get(PATH) { context -> counted(context) { state(context) } }
        config.routes.delete(PATH) { context -> counted(context) { cancel(context) } }
        config.routes.exception(HttpResponseException::class.java, ::refuse)
    }

    private suspend fun submit(context: Context) {
        val id = context.pathParam("id")
        reader.read(id, context.body()).fold(
            success = { job ->
                val outcome = router.submit(job, job.deadlineMillis)
                metrics.answered(job.team.value, outcome)
                answer(context, id, outcome)
            },
            failure = { verdict -> problem(context, id, verdict) },
        )
    }

    private suspend fun state(context: Context) {
        val id = context.pathParam("id")
        val createdAtMillis = createdAt(context, id) ?: return missingCreationTime(context, id)
        val state = router.state(JobId(id), createdAtMillis)
        if (state == JobState.UNKNOWN) context.status(HttpStatus.NOT_FOUND)
        context
            .contentType(
                JSON_TYPE,
            ).result(json.encodeToString(StateBody(id, state.name.lowercase().replace('_', '-'))))
    }

    private suspend fun cancel(context: Context) {
        val id = context.pathParam("id")
        val createdAtMillis = createdAt(context, id) ?: return missingCreationTime(context, id)
        when (val outcome = router.cancel(JobId(id), createdAtMillis)) {
            null ->
                context
                    .status(HttpStatus.NOT_FOUND)
                    .contentType(JSON_TYPE)
                    .result(json.encodeToString(StateBody(id, "unknown")))
            else -> answer(context, id, outcome)
        }
    }

    private fun createdAt(
        context: Context,
        id: String,
    ): Long? = CreationTime.of(JobId(id)) ?: context.queryParam("createdAt")?.toLongOrNull()

    private fun missingCreationTime(
        context: Context,
        id: String,
    ) = problem(context, id, Verdict.NotRun(Reason.MALFORMED, "The job id is no UUIDv7, and there is no createdAt."))

    private fun answer(
        context: Context,
        id: String,
        outcome: JobOutcome,
    ) {
        when (outcome) {
            is JobOutcome.WithoutAnswer -> problem(context, id, outcome.verdict)
            is JobOutcome.Complete -> {
                val answers = outcome.answers.map { json.parseToJsonElement(it) }
                context.contentType(JSON_TYPE).result(json.encodeToString(CompleteBody(id, "complete", answers)))
            }
        }
    }

    private fun problem(
        context: Context,
        id: String?,
        verdict: Verdict,
    ) {
        val problem = Problem.of(verdict, id)
        problem.retryAfterMillis?.let {
            context.header(
                "Retry-After",
                "${(it + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND}",
            )
        }
        context.status(problem.status).contentType(Problem.MEDIA_TYPE).result(json.encodeToString(problem))
    }

    /**
     * Answers a request that Javalin has refused. For a body larger than the limit, Javalin throws
     * [HttpResponseException] itself, not a subtype, so only the status identifies this case.
     */
    private fun refuse(
        exception: HttpResponseException,
        context: Context,
    ) {
        if (exception.status == HttpStatus.CONTENT_TOO_LARGE) return refuseTooLarge(context)
        context.status(exception.status).result(exception.message.orEmpty())
    }

    /**
     * Refuses a body larger than the limit. Discards a bounded part of it first, as closing the connection with unread
     * data loses the answer.
     */
    private fun refuseTooLarge(context: Context) {
        val body = context.req().inputStream
        val buffer = ByteArray(DISCARD_BUFFER_BYTES)
        var discarded = 0L
        while (discarded < MAX_DISCARDED_BYTES) {
            val count = body.read(buffer)
            if (count < 0) break
            discarded += count
        }
        problem(context, null, Verdict.NotRun(Reason.TOO_LARGE, "The body is larger than this entry accepts."))
    }

    /** Handles a request outside the server's threads and counts it, so that a drain waits for its answer. */
    private fun counted(
        context: Context,
        body: suspend () -> Unit,
    ) {
        drain.beginRequest()
        context.future {
            val answered: CompletableFuture<Unit> =
                scope.future {
                    body()
                    if (drain.isDraining) context.header("Connection", "close")
                }
            answered.whenComplete { _, _ -> drain.endRequest() }
        }
    }

    private companion object {
        const val PATH = "/v1/jobs/{id}"
        const val JSON_TYPE = "application/json"
        const val DISCARD_BUFFER_BYTES = 65_536
        const val MAX_DISCARDED_BYTES = 64L * 1_024 * 1_024
        const val MILLIS_PER_SECOND = 1_000L
        val json = Json { encodeDefaults = true }
    }
}
