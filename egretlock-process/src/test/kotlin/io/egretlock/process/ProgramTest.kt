package io.egretlock.process

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class ProgramTest {
    private val ran = mutableListOf<List<String>>()
    private val program = program("example", "Usage: example") { command("run") { flags -> ran += flags } }

    @Test
    fun `given a command with flags, when run, then the command receives the flags`() {
        program.run(arrayOf("run", "--name", "a"))
        assertEquals(listOf(listOf("--name", "a")), ran)
    }

    @Test
    fun `given the help flag, when run, then no command runs`() {
        program.run(arrayOf("--help", "run"))
        assertEquals(emptyList<List<String>>(), ran)
    }
}
