package io.egretlock.agent

import io.egretlock.process.FlagParser
import io.egretlock.process.LogSetup
import io.egretlock.process.Setting
import io.egretlock.process.SettingFault
import io.egretlock.process.SettingReader
import io.javalin.util.JavalinBindException
import kotlinx.coroutines.runBlocking
import okhttp3.OkHttpClient
import okhttp3.Request
import java.io.IOException
import kotlin.system.exitProcess

private const val VERSION = "0.1.0"
private const val EXIT_FAILURE = 1
private const val EXIT_USAGE = 2
private const val USAGE =
    """Usage: egretlock-agent COMMAND [FLAGS]

Runs beside one upstream and starts its tasks.

  run      Runs the agent until SIGTERM, then stops gracefully.
  check    Checks the settings and prints every fault.
  dump     Prints the state of a running agent as JSON.

  COMMAND --help    Lists the command's flags with their environment variables.
  --version         Prints the version."""

/** Entry point of `egretlock-agent`. */
fun main(arguments: Array<String>) {
    val flags = arguments.drop(1)
    when (arguments.firstOrNull()) {
        "run" -> run(readSettings("run", flags, AgentSettings.ALL, AgentSettings::read))
        "check" -> check(flags)
        "dump" -> dump(flags)
        "--version" -> println("egretlock-agent $VERSION")
        "--help", "-h" -> println(USAGE)
        else -> fail(EXIT_USAGE, listOf(USAGE))
    }
}

private fun run(settings: AgentSettings) {
    LogSetup.apply(settings.logFormat)
    val process = AgentProcess(settings)
    try {
        process.start()
    } catch (inUse: JavalinBindException) {
        fail(EXIT_FAILURE, listOf("An address can't be bound: ${inUse.message}"))
    }
    Runtime.getRuntime().addShutdownHook(
        Thread {
            runBlocking { process.stop() }
            Runtime.getRuntime().halt(0)
        },
    )
    Thread.currentThread().join()
}

private fun check(flags: List<String>) {
    readSettings("check", flags, AgentSettings.ALL, AgentSettings::read)
    println("The settings are valid.")
}

private fun dump(flags: List<String>) {
    val (address, token) =
        readSettings("dump", flags, AgentSettings.DUMP) { reader ->
            AgentSettings.readOperatorsAddress(reader) to AgentSettings.readOperatorToken(reader)
        }
    val request = Request.Builder().url("http://$address/dump")
    token?.let { request.header("Authorization", "Bearer $it") }
    try {
        OkHttpClient().newCall(request.build()).execute().use { response ->
            if (!response.isSuccessful) fail(EXIT_FAILURE, listOf("The agent answered with status ${response.code}."))
            println(response.body.string())
        }
        exitProcess(0)
    } catch (failure: IOException) {
        fail(EXIT_FAILURE, listOf("No answer from http://$address/dump: ${failure.message}"))
    }
}

private fun <T> readSettings(
    command: String,
    arguments: List<String>,
    settings: List<Setting>,
    read: (SettingReader) -> T,
): T {
    val parser = FlagParser("egretlock-agent $command", settings)
    val unknown = parser.unknownFlags(arguments)
    if (unknown.isNotEmpty()) fail(EXIT_USAGE, unknown.map { "--$it: no such flag; see --help." })
    val reader = SettingReader(parser.parse(arguments), System.getenv())
    val result = read(reader)
    if (reader.faults.isNotEmpty()) fail(EXIT_USAGE, reader.faults.map(SettingFault::toString))
    return result
}

private fun fail(
    status: Int,
    lines: List<String>,
): Nothing {
    lines.forEach(System.err::println)
    exitProcess(status)
}
