package io.egretlock.testing.system

import io.egretlock.core.roster.NodeAddress

/** An agent in a separate process, with its upstream; a restart keeps its name and addresses. */
class AgentNode internal constructor(
    val name: String,
    private val failureDomain: String,
    private val entries: List<EntryNode>,
    private val timing: SystemTiming,
    private val launcher: ProcessLauncher,
    upstreamFactory: (String) -> UpstreamNode,
) : AutoCloseable {
    /** Address at which its upstream announces itself. */
    val announceAddress: NodeAddress = freeAddress()

    /** Address at which operators inspect it. */
    val operatorsAddress: NodeAddress = freeAddress()

    /** Its upstream. */
    val upstream: UpstreamNode = upstreamFactory(announceAddress.toString())

    /** The latest process. */
    lateinit var process: ManagedProcess
        private set

    /** Starts a process. */
    fun start() {
        val flags =
            listOf(
                "--name" to name,
                "--failure-domain" to failureDomain,
                "--announce-address" to announceAddress,
                "--operators-address" to operatorsAddress,
                "--entries" to entries.joinToString(",") { it.dialledAddress.toString() },
                "--heartbeat-millis" to timing.heartbeatMillis,
                "--silence-millis" to timing.silenceMillis,
                "--drain-millis" to timing.drainMillis,
            )
        val arguments = flags.flatMap { (flag, value) -> listOf(flag, value.toString()) }
        process = launcher.startBinary("egretlock-agent", name, listOf("run") + arguments)
    }

    override fun close() = upstream.close()
}
