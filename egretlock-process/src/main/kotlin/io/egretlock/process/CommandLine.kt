package io.egretlock.process

import okhttp3.OkHttpClient
import okhttp3.Request
import java.io.IOException
import kotlin.system.exitProcess

/** Exit status of a command whose settings or flags are invalid. */
const val EXIT_USAGE = 2

/** Exit status of a command that failed while it ran. */
const val EXIT_FAILURE = 1

/** Functions that the commands of a program share: validated settings, and error messages with an exit status. */
class CommandLine(
    private val program: String,
) {
    /**
     * Reads the settings of [command]. If any is invalid, prints a line for each fault and ends the process with
     * status [EXIT_USAGE].
     */
    fun <T> readSettings(
        command: String,
        arguments: List<String>,
        settings: List<Setting>,
        read: (SettingReader) -> T,
    ): T {
        val parser = FlagParser("$program $command", settings)
        val unknown = parser.unknownFlags(arguments)
        if (unknown.isNotEmpty()) fail(EXIT_USAGE, unknown.map { "--$it: no such flag; see --help." })
        val reader = SettingReader(parser.parse(arguments), System.getenv())
        val result = read(reader)
        if (reader.faults.isNotEmpty()) fail(EXIT_USAGE, reader.faults.map(SettingFault::toString))
        return result
    }

    /** Prints the response to a GET request to [url]; ends this process with status 0 or [EXIT_FAILURE]. */
    fun printAnswer(
        url: String,
        token: String?,
    ): Nothing {
        val request = Request.Builder().url(url)
        token?.let { request.header("Authorization", "Bearer $it") }
        try {
            OkHttpClient().newCall(request.build()).execute().use { response ->
                if (!response.isSuccessful) fail(EXIT_FAILURE, listOf("$url answered with status ${response.code}."))
                println(response.body.string())
            }
        } catch (failure: IOException) {
            fail(EXIT_FAILURE, listOf("No answer from $url: ${failure.message}"))
        }
        exitProcess(0)
    }

    /** Prints [lines] to standard error and ends the process. */
    fun fail(
        status: Int,
        lines: List<String>,
    ): Nothing {
        lines.forEach(System.err::println)
        exitProcess(status)
    }
}
