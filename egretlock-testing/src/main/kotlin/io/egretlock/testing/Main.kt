package io.egretlock.testing

import io.egretlock.process.LogFormat
import io.egretlock.process.LogSetup
import io.egretlock.testing.demo.Demo
import io.egretlock.testing.soak.SoakCommand
import io.egretlock.testing.store.StoreCommand
import io.egretlock.testing.upstream.UpstreamCommand
import kotlin.system.exitProcess

private const val EXIT_USAGE = 2

/** Runs the demo, the soak test, or one stand-in as a separate process. */
fun main(arguments: Array<String>) {
    LogSetup.apply(LogFormat.TEXT)
    when (arguments.firstOrNull()) {
        "demo" -> Demo.run()
        "soak" -> SoakCommand.run(arguments.drop(1))
        "store" -> StoreCommand.run(arguments.drop(1))
        "upstream" -> UpstreamCommand.run(arguments.drop(1))
        else -> printUsageAndExit()
    }
}

private fun printUsageAndExit() {
    System.err.println("usage: egretlock-testing demo|soak|store|upstream [flags]")
    exitProcess(EXIT_USAGE)
}
