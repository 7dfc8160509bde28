package io.egretlock.testing.upstream

import io.egretlock.process.FlagParser
import io.egretlock.process.Setting
import io.egretlock.process.SettingReader
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import kotlin.system.exitProcess

/**
 * The subcommand `upstream`: an upstream stand-in as a separate process that leaves gracefully on SIGTERM. It prints
 * each start as one line of JSON, which remains available after the process is killed.
 */
object UpstreamCommand {
    private const val EXIT_USAGE = 2
    private const val LARGEST_COUNT = 10_000L
    private const val LARGEST_PORT = 65_535L
    private const val DRAIN_MILLIS = 10_000L
    private const val POLL_MILLIS = 20L

    private val service = Setting("service", "Service that the upstream announces.")
    private val slots = Setting("slots", "Tasks that it runs at once.", "8")
    private val connections = Setting("connections", "Connections that it accepts at once.", "64")
    private val speed = Setting("speed", "Factor by which run times are divided.", "1.0")
    private val port = Setting("port", "TCP port on loopback; 0 takes a free one.", "0")
    private val announceAddress = Setting("announce-address", "Where the agent takes announcements, as host:port.")
    private val settings = listOf(service, slots, connections, speed, port, announceAddress)

    /** Starts the stand-in, which runs until the process is terminated. */
    fun run(arguments: List<String>) {
        val reader = SettingReader(FlagParser("upstream", settings).parse(arguments), System.getenv())
        val traits =
            UpstreamStandInOptions(
                service = reader.name(service),
                slots = reader.number(slots, 1..LARGEST_COUNT).toInt(),
                connections = reader.number(connections, 1..LARGEST_COUNT).toInt(),
                speed =
                    reader.read(
                        speed,
                        "a number above 0",
                        1.0,
                    ) { text -> text.toDoubleOrNull()?.takeIf { it > 0 } },
            )
        val listenPort = reader.number(port, 0..LARGEST_PORT).toInt()
        val agent = reader.address(announceAddress)
        if (reader.faults.isNotEmpty()) printFaultsAndExit(reader)
        val upstream = UpstreamStandIn(traits, listenPort) { println(Json.encodeToString(it)) }
        val announcer = UpstreamAnnouncer(upstream.announcement, "http://$agent")
        announcer.start()
        Runtime.getRuntime().addShutdownHook(Thread { leave(upstream, announcer) })
        println("upstream ${upstream.address}")
    }

    private fun printFaultsAndExit(reader: SettingReader) {
        reader.faults.forEach { System.err.println(it) }
        exitProcess(EXIT_USAGE)
    }

    private fun leave(
        upstream: UpstreamStandIn,
        announcer: UpstreamAnnouncer,
    ) {
        announcer.deregister()
        val deadline = System.nanoTime() + DRAIN_MILLIS * NANOS_PER_MILLI
        while (upstream.runningCount > 0 && System.nanoTime() < deadline) Thread.sleep(POLL_MILLIS)
        upstream.close()
    }

    private const val NANOS_PER_MILLI = 1_000_000L
}
