package io.egretlock.testing.system

import io.egretlock.testing.upstream.TaskStart
import io.egretlock.testing.upstream.UpstreamAnnouncer
import io.egretlock.testing.upstream.UpstreamMode
import io.egretlock.testing.upstream.UpstreamStandIn
import io.egretlock.testing.upstream.UpstreamStandInOptions
import kotlinx.serialization.json.Json
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody

/** The upstream of an agent. */
interface UpstreamNode : AutoCloseable {
    /** All starts that the upstream has recorded. */
    val starts: List<TaskStart>

    /** Starts the upstream and announces it to its agent. */
    fun start()

    /** Changes the treatment of tasks that start from now on. */
    fun changeMode(mode: UpstreamMode)

    /** Notifies the agent that the upstream leaves, and returns once the agent has confirmed it. */
    fun deregister()
}

/** An upstream in the process of the test. */
class EmbeddedUpstream(
    private val traits: UpstreamStandInOptions,
    private val announceAddress: String,
) : UpstreamNode {
    private lateinit var standIn: UpstreamStandIn
    private lateinit var announcer: UpstreamAnnouncer

    override val starts: List<TaskStart>
        get() = standIn.starts

    override fun start() {
        standIn = UpstreamStandIn(traits)
        announcer = UpstreamAnnouncer(standIn.announcement, "http://$announceAddress")
        announcer.start()
    }

    override fun changeMode(mode: UpstreamMode) {
        standIn.mode = mode
    }

    override fun deregister() {
        check(announcer.deregister()) { "The agent at $announceAddress did not confirm that the upstream leaves." }
    }

    override fun close() {
        announcer.close()
        standIn.close()
    }
}

/** An upstream in a separate process, which can be killed, paused and restarted. */
class ProcessUpstream(
    private val launcher: ProcessLauncher,
    private val name: String,
    private val traits: UpstreamStandInOptions,
    private val announceAddress: String,
) : UpstreamNode {
    private val processes = mutableListOf<ManagedProcess>()
    private val port = FreePorts.next()

    /** The latest process. */
    val process: ManagedProcess
        get() = processes.last()

    override val starts: List<TaskStart>
        get() =
            processes.flatMap { process ->
                val lines = process.logText().lines().filter { it.startsWith("{\"task\"") }
                lines.map { Json.decodeFromString<TaskStart>(it) }
            }

    override fun start() {
        val flags =
            listOf(
                "--service=${traits.service}",
                "--slots=${traits.slots}",
                "--connections=${traits.connections}",
                "--speed=${traits.speed}",
                "--port=$port",
                "--announce-address=$announceAddress",
            )
        processes += launcher.startStandIn(name, listOf("upstream") + flags.flatMap { it.split('=') })
    }

    override fun changeMode(mode: UpstreamMode) {
        val body = "\"${mode.name}\"".toRequestBody()
        val request =
            Request
                .Builder()
                .url("http://127.0.0.1:$port/mode")
                .put(body)
                .build()
        OkHttpClient().newCall(request).execute().close()
    }

    override fun deregister() = process.signal(ProcessSignal.TERM)

    override fun close() = process.destroy()
}
