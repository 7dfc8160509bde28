package io.egretlock.testing.system

import io.egretlock.core.roster.NodeAddress
import io.egretlock.testing.link.FaultyLink

/** An entry in a separate process; a restart keeps its name and addresses. */
class EntryNode internal constructor(
    val name: String,
    private val failureDomain: String,
    private val storeUrl: String,
    private val timing: SystemTiming,
    private val launcher: ProcessLauncher,
    private val hasFaultyLink: Boolean,
) : AutoCloseable {
    private val linkAddress = freeAddress()

    /** Address at which callers submit jobs. */
    val callersAddress: NodeAddress = freeAddress()

    /** Address at which operators inspect it and edit settings. */
    val operatorsAddress: NodeAddress = freeAddress()

    /** Proxy in front of its link address; null unless the system has faulty links. */
    val link: FaultyLink? = if (hasFaultyLink) FaultyLink(linkAddress) else null

    /** Address to which agents and other entries connect. */
    val dialledAddress: NodeAddress = link?.address ?: linkAddress

    /** The latest process. */
    lateinit var process: ManagedProcess
        private set

    /** Starts a process. */
    fun start() {
        val flags =
            listOf(
                "--name" to name,
                "--failure-domain" to failureDomain,
                "--callers-address" to callersAddress,
                "--operators-address" to operatorsAddress,
                "--link-address" to linkAddress,
                "--store-address" to storeUrl,
                "--heartbeat-millis" to timing.heartbeatMillis,
                "--silence-millis" to timing.silenceMillis,
                "--notice-millis" to timing.noticeMillis,
                "--drain-millis" to timing.drainMillis,
                "--team-tokens" to TEAMS.joinToString(",") { "$it=${tokenOf(it)}" },
            ) + advertisedFlags()
        val arguments = flags.flatMap { (flag, value) -> listOf(flag, value.toString()) }
        process = launcher.startBinary("egretlock-entry", name, listOf("run") + arguments)
    }

    /** Another entry with the same settings, but its own [name] and addresses; not started. */
    internal fun replacement(name: String) = EntryNode(name, failureDomain, storeUrl, timing, launcher, hasFaultyLink)

    override fun close() {
        link?.close()
    }

    private fun advertisedFlags() =
        if (link == null) emptyList() else listOf("--advertised-link-address" to dialledAddress)

    /** The teams whose settings can be edited at an entry. */
    companion object {
        private val TEAMS = listOf("haddad", "reti-etnee")

        /** Token with which the operators of [team] edit its settings. */
        fun tokenOf(team: String): String = "token-of-the-operators-of-$team"
    }
}

internal fun freeAddress() = NodeAddress("127.0.0.1", FreePorts.next())
