package io.egretlock.testing.store

import io.egretlock.process.FlagParser
import io.egretlock.process.Setting
import io.egretlock.process.SettingReader
import kotlin.system.exitProcess

/** The subcommand `store`: a stand-in for the platform's store as a separate process. */
object StoreCommand {
    private const val EXIT_USAGE = 2
    private val address = Setting("address", "Where the store listens, as host:port.")

    /** Starts the stand-in, which runs until the process is terminated. */
    fun run(arguments: List<String>) {
        val reader = SettingReader(FlagParser("store", listOf(address)).parse(arguments), System.getenv())
        val listenAddress = reader.address(address)
        if (reader.faults.isNotEmpty()) printFaultsAndExit(reader)
        val store = StoreStandIn(listenAddress)
        Runtime.getRuntime().addShutdownHook(Thread(store::close))
        println("store ${store.address}")
    }

    private fun printFaultsAndExit(reader: SettingReader) {
        reader.faults.forEach { System.err.println(it) }
        exitProcess(EXIT_USAGE)
    }
}
