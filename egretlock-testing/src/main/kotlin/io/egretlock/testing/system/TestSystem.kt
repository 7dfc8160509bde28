package io.egretlock.testing.system

import io.egretlock.core.job.ServiceName
import io.egretlock.core.job.TeamName
import io.egretlock.core.settings.ServiceSettings
import io.egretlock.core.settings.TeamSettings
import io.egretlock.testing.audit.Submission
import io.egretlock.testing.audit.VerdictAudit
import io.egretlock.testing.audit.Violation
import io.egretlock.testing.client.CallerClient
import io.egretlock.testing.client.JobReply
import io.egretlock.testing.client.JobRequest
import io.egretlock.testing.store.StoreStandIn
import io.egretlock.testing.upstream.TaskStart
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.CopyOnWriteArrayList

/**
 * A complete system of processes on loopback, with a record of all submissions and starts. [close] ends all processes.
 */
class TestSystem internal constructor(
    private val launcher: ProcessLauncher,
    val store: StoreStandIn,
    entries: List<EntryNode>,
    val agents: List<AgentNode>,
    private val teams: List<TeamPermission>,
) : AutoCloseable {
    private val currentEntries = CopyOnWriteArrayList(entries)
    private val caller = CallerClient()
    private val operator = OperatorClient()
    private val submissions = ConcurrentLinkedQueue<Submission>()

    /** The current entries; a replacement has the position of the entry that it replaced. */
    val entries: List<EntryNode>
        get() = currentEntries

    /** All starts that the upstreams have recorded. */
    val starts: List<TaskStart>
        get() = agents.flatMap { it.upstream.starts }

    /** Submits a job at [entry] and records the reply. */
    fun submit(
        entry: EntryNode,
        id: String,
        job: JobRequest,
    ): CompletableFuture<JobReply> =
        caller.submit(entry.callersAddress.toString(), id, job).thenApply { reply ->
            submissions += Submission(id, job, reply)
            reply
        }

    /** Submits [body], which need not be well-formed, without recording the submission. */
    fun submitText(
        entry: EntryNode,
        id: String,
        body: String,
    ): JobReply = caller.submitText(entry.callersAddress.toString(), id, body).join()

    /** Cancels a job and returns the HTTP status. */
    fun cancel(
        entry: EntryNode,
        id: String,
    ): Int = caller.cancel(entry.callersAddress.toString(), id)

    /** Waits until no more tasks start, and returns the violations among all submissions so far. */
    fun violations(): List<Violation> {
        var before: Int
        do {
            before = starts.size
            Thread.sleep(SETTLE_MILLIS)
        } while (starts.size > before)
        return VerdictAudit(submissions.toList(), starts).violations()
    }

    /** Kills [entry] and starts another one in its place, called [name] and with its own addresses. */
    fun killAndReplace(
        entry: EntryNode,
        name: String,
    ): EntryNode {
        entry.process.signal(ProcessSignal.KILL)
        entry.process.awaitExit()
        val replacement = entry.replacement(name)
        currentEntries[currentEntries.indexOf(entry)] = replacement
        replacement.start()
        return replacement
    }

    /** Waits until every running entry is ready and connected to all of [agents], and these have an upstream. */
    fun awaitConnected(agents: List<AgentNode> = this.agents) {
        entries.filter { it.process.isAlive }.forEach { entry ->
            val names = agents.map { it.name }.toSet()
            Await.until("${entry.name} is connected to $names", entry.process) {
                operator.isReady(entry.operatorsAddress) &&
                    operator.servingAgents(entry.operatorsAddress).containsAll(names)
            }
        }
    }

    fun awaitReady(entry: EntryNode) =
        Await.until("${entry.name} is ready", entry.process) { operator.isReady(entry.operatorsAddress) }

    /** Lets all upstreams leave, then stops agents and entries with SIGTERM. Returns the exit codes by process name. */
    fun stopGracefully(): Map<String, Int> {
        agents.forEach { it.upstream.deregister() }
        val processes = agents.map { it.process } + entries.map { it.process }
        return processes.associate { process ->
            process.signal(ProcessSignal.TERM)
            process.name to process.awaitExit()
        }
    }

    fun awaitUnready(entry: EntryNode) =
        Await.until("${entry.name} is not ready") { !operator.isReady(entry.operatorsAddress) }

    /** Whether [entry] accepts new work, as its load balancer sees it. */
    fun isReady(entry: EntryNode): Boolean = operator.isReady(entry.operatorsAddress)

    override fun close() {
        caller.close()
        launcher.close()
        agents.forEach { it.close() }
        entries.forEach { it.close() }
        store.close()
    }

    internal fun start() {
        entries.forEach { it.start() }
        agents.forEach { it.start() }
        agents.forEach { it.upstream.start() }
        entries.forEach { awaitReady(it) }
        teams.groupBy { it.team }.forEach { (team, permissions) ->
            store.history.put("/egretlock/settings/$team", settingsText(team, permissions))
        }
        awaitConnected()
        entries.forEach { awaitSettings(it) }
    }

    private fun settingsText(
        team: String,
        permissions: List<TeamPermission>,
    ): String {
        val services = permissions.map { ServiceSettings(ServiceName(it.service), it.concurrency) }
        return Json.encodeToString(TeamSettings(TeamName(team), services = services))
    }

    private fun awaitSettings(entry: EntryNode) =
        Await.until("${entry.name} has the settings of all teams", entry.process) {
            operator.knownTeams(entry.operatorsAddress).containsAll(teams.map { it.team })
        }

    private companion object {
        const val SETTLE_MILLIS = 300L
    }
}
