package io.egretlock.process

private const val VERSION = "0.1.0"

/** A command-line program with subcommands, `--help` and `--version`. Built by [program]. */
class Program internal constructor(
    private val name: String,
    private val usage: String,
    private val commands: Map<String, (List<String>) -> Unit>,
) {
    /** Runs the command that [arguments] begin with; ends the process with status [EXIT_USAGE] if it is unknown. */
    fun run(arguments: Array<String>) {
        val first = arguments.firstOrNull()
        val command = commands[first]
        when {
            command != null -> command(arguments.drop(1))
            first == "--version" -> println("$name $VERSION")
            first == "--help" || first == "-h" -> println(usage)
            else -> CommandLine(name).fail(EXIT_USAGE, listOf(usage))
        }
    }
}

/** Collects the commands of a [Program]. */
class ProgramBuilder internal constructor() {
    internal val commands = linkedMapOf<String, (List<String>) -> Unit>()

    /** Adds the command [name]; [body] receives the arguments that follow the name. */
    fun command(
        name: String,
        body: (List<String>) -> Unit,
    ) {
        commands[name] = body
    }
}

/** Builds the program [name]; [usage] is what `--help` prints. */
fun program(
    name: String,
    usage: String,
    configure: ProgramBuilder.() -> Unit,
): Program = Program(name, usage, ProgramBuilder().apply(configure).commands)
