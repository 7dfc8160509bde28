package io.egretlock.testing.system

import io.egretlock.core.roster.NodeAddress
import io.egretlock.testing.link.FaultyLink

/** An entry in a process of its own; a restart keeps its name and its addresses. */
class EntryNode internal constructor(
    val name: String,
    private val failureDomain: String,
    private val storeUrl: String,
    private val timing: SystemTiming,
    private val launcher: ProcessLauncher,
    private val faulty: Boolean,
) : AutoCloseable {
    private val linkAddress = freeAddress()

    /** Where callers submit jobs. */
    val callersAddress: NodeAddress = freeAddress()

    /** Where operators inspect it and edit settings. */
    val operatorsAddress: NodeAddress = freeAddress()

    /** Proxy in front of its link address; null unless the system was built with faulty links. */
    val link: FaultyLink? = if (faulty) FaultyLink(linkAddress) else null

    /** Address at which agents and entries dial it. */
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
            ) + advertised()
        val arguments = flags.flatMap { (flag, value) -> listOf(flag, value.toString()) }
        process = launcher.binary("egretlock-entry", name, listOf("run") + arguments)
    }

    /** Another entry with the same settings, but a [name] and addresses of its own; not started. */
    internal fun replacement(name: String) = EntryNode(name, failureDomain, storeUrl, timing, launcher, faulty)

    override fun close() {
        link?.close()
    }

    private fun advertised() = if (link == null) emptyList() else listOf("--advertised-link-address" to dialledAddress)

    /** The teams whose settings can be edited at an entry. */
    companion object {
        private val TEAMS = listOf("haddad", "reti-etnee")

        /** Token with which the operators of [team] edit its settings. */
        fun tokenOf(team: String): String = "token-of-the-operators-of-$team"
    }
}

internal fun freeAddress() = NodeAddress("127.0.0.1", FreePorts.next())
