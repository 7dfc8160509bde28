package io.egretlock.testing.settings

import io.egretlock.testing.proof.TEAM
import io.egretlock.testing.proof.sharedSmallSystem
import io.egretlock.testing.system.EntryNode
import io.egretlock.testing.system.ProcessLauncher
import io.egretlock.testing.system.TestSystem
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.extension.RegisterExtension
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path
import kotlin.io.path.writeText

/** The commands `settings get` and `settings put` against real entries. */
class SettingsCommandTest {
    private val launcher = ProcessLauncher()

    @TempDir
    lateinit var directory: Path

    @AfterEach
    fun endProcesses() = launcher.close()

    @Test
    fun `given settings in force, when read and put back, then they are accepted at a higher revision`() {
        val read = command("get")
        val revision =
            read.output
                .lineSequence()
                .first()
                .removePrefix("# revision ")
                .toLong()
        val put = command("put", "--file", file(read.output), "--revision", "$revision")
        assertEquals(0, put.exitCode) { put.output }
        assertTrue(
            put.output
                .removePrefix("accepted at revision ")
                .trim()
                .toLong() > revision,
        ) { put.output }
    }

    @Test
    fun `given a file with faults, when put, then each is reported on its own line and the exit status is 2`() {
        val put = command("put", "--file", file("team: $TEAM\nweight: -1\ncolour: red\n"), "--revision", "0")
        assertEquals(2, put.exitCode)
        assertEquals(
            listOf(
                "colour: 'colour' is not allowed; " +
                    "allowed: a known key: team, weight, services, closedOperations (line 3, column 1).",
                "weight: '-1.0' is not allowed; allowed: a number from 0.001 to 1000.0 (line 2, column 9).",
            ),
            put.output.trim().lines(),
        )
    }

    @Test
    fun `given an old revision, when put, then the refusal reports the current one and the exit status is 1`() {
        val put = command("put", "--file", file("team: $TEAM\n"), "--revision", "1")
        assertEquals(1, put.exitCode)
        assertTrue(put.output.startsWith("Status 412, present revision ")) { put.output }
    }

    @Test
    fun `given invalid flags, when put, then each is reported without the token and the exit status is 2`() {
        val process =
            launcher.startBinary(
                "egretlock-entry",
                "settings",
                listOf("settings", "put", "--team", "a b", "--team-token", " ", "--file", "/no/such/file"),
            )
        assertEquals(2, process.awaitExit())
        assertEquals(
            listOf(
                "--team (EGRETLOCK_TEAM): 'a b' is not allowed; allowed: 1 to 64 letters, digits, '.', '-' or '_'.",
                "--team-token (EGRETLOCK_TEAM_TOKEN): the value, which is secret, is not allowed; " +
                    "allowed: the token of the team.",
                "--revision (EGRETLOCK_REVISION): missing is not allowed; " +
                    "allowed: a whole number from 0 to ${Long.MAX_VALUE}.",
                "--file (EGRETLOCK_FILE): '/no/such/file' is not allowed; allowed: the path of a readable file.",
            ),
            process.logText().trim().lines(),
        )
    }

    private fun file(text: String): String {
        val path = directory.resolve("settings.yaml")
        path.writeText(text)
        return path.toString()
    }

    private fun command(
        name: String,
        vararg flags: String,
    ): CommandResult {
        val target =
            listOf(
                "--operators-address",
                system.entries
                    .first()
                    .operatorsAddress
                    .toString(),
                "--team",
                TEAM,
                "--team-token",
                EntryNode.tokenOf(TEAM),
            )
        val process = launcher.startBinary("egretlock-entry", "settings", listOf("settings", name) + target + flags)
        return CommandResult(process.awaitExit(), process.logText())
    }

    private data class CommandResult(
        val exitCode: Int,
        val output: String,
    )

    private companion object {
        @JvmField
        @RegisterExtension
        val shared = sharedSmallSystem()

        val system: TestSystem
            get() = shared.value
    }
}
