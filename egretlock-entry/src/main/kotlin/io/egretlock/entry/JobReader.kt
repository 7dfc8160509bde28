package io.egretlock.entry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.egretlock.core.job.CreationTime
import io.egretlock.core.job.Job
import io.egretlock.core.job.JobId
import io.egretlock.core.job.OperationName
import io.egretlock.core.job.Reason
import io.egretlock.core.job.ServiceName
import io.egretlock.core.job.TaskSpecification
import io.egretlock.core.job.TeamName
import io.egretlock.core.job.Verdict
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

private const val MAX_BODY_BYTES = 4 * 1_024 * 1_024
private const val MAX_PAYLOAD_BYTES = 256 * 1_024

/** Limits on what a caller may send. */
data class JobLimits(
    val maxBodyBytes: Int = MAX_BODY_BYTES,
    val maxPayloadBytes: Int = MAX_PAYLOAD_BYTES,
    val maxNameCharacters: Int = 128,
    val maxTasks: Int = 1_000,
    val maxDeadlineMillis: Long = 3_600_000,
)

/** Parses a submission and checks it against [limits]; every fault is a [Verdict.NotRun]. */
class JobReader(
    private val limits: JobLimits = JobLimits(),
) {
    /** Parses the job [id] from [body], which is JSON text. */
    fun read(
        id: String,
        body: String,
    ): Result<Job, Verdict.NotRun> {
        val parsed =
            try {
                json.decodeFromString<JobBody>(body)
            } catch (fault: SerializationException) {
                return malformed("The body is no job: ${fault.message?.lineSequence()?.first()}")
            }
        val fault = fault(id, parsed)
        return if (fault != null) Err(fault) else toJob(JobId(id), parsed)
    }

    private fun fault(
        id: String,
        body: JobBody,
    ): Verdict.NotRun? =
        when {
            id.isBlank() || id.length > limits.maxNameCharacters ->
                notRun(
                    "The job id has ${id.length} characters.",
                )
            body.tasks.isEmpty() -> notRun("The job has no tasks.")
            body.tasks.size > limits.maxTasks ->
                tooLarge(
                    "The job has ${body.tasks.size} tasks",
                    "${limits.maxTasks}",
                )
            body.deadlineMillis !in 1..limits.maxDeadlineMillis ->
                notRun("deadlineMillis is ${body.deadlineMillis}; allowed: 1 to ${limits.maxDeadlineMillis}.")
            body.tasks.any { it.operation.isBlank() || it.operation.length > limits.maxNameCharacters } ->
                notRun("A task has an operation of 0 or more than ${limits.maxNameCharacters} characters.")
            else -> largePayload(body)
        }

    private fun largePayload(body: JobBody): Verdict.NotRun? =
        body.tasks
            .map { it.payload.toString().length }
            .firstOrNull { it > limits.maxPayloadBytes }
            ?.let { tooLarge("A payload has $it bytes", "${limits.maxPayloadBytes}") }

    private fun toJob(
        id: JobId,
        body: JobBody,
    ): Result<Job, Verdict.NotRun> {
        val createdAtMillis =
            CreationTime.of(id) ?: body.createdAt
                ?: return malformed("The job id is no UUIDv7, and there is no createdAt.")
        return Ok(
            Job(
                id = id,
                team = TeamName(body.team),
                service = ServiceName(body.service),
                createdAtMillis = createdAtMillis,
                deadlineMillis = body.deadlineMillis,
                tasks = body.tasks.map(::toTask),
            ),
        )
    }

    private fun toTask(task: TaskBody) =
        TaskSpecification(
            operation = OperationName(task.operation),
            idempotent = task.idempotent,
            payload = task.payload.toString(),
            declared = task.declared,
        )

    private fun malformed(detail: String) = Err(notRun(detail))

    private fun notRun(detail: String) = Verdict.NotRun(Reason.MALFORMED, detail)

    private fun tooLarge(
        what: String,
        most: String,
    ) = Verdict.NotRun(Reason.TOO_LARGE, "$what; allowed: at most $most.")

    private companion object {
        val json = Json { ignoreUnknownKeys = false }
    }
}
