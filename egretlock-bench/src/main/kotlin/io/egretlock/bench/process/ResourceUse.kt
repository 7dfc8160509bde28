package io.egretlock.bench.process

import java.nio.file.Path
import kotlin.io.path.Path
import kotlin.io.path.readLines

/**
 * Resource use of a process since its start, as counted by the operating system.
 *
 * @property processorMillis processor time in user and system mode.
 * @property residentBytes resident memory at the time of reading.
 * @property readBytes bytes read from files and sockets.
 * @property writtenBytes bytes written to files and sockets.
 */
data class ResourceUse(
    val processorMillis: Long,
    val residentBytes: Long,
    val readBytes: Long,
    val writtenBytes: Long,
) {
    companion object {
        private const val BYTES_PER_KIBIBYTE = 1_024

        /** Reads the use of the process [pid], which must be alive. */
        fun of(pid: Long): ResourceUse {
            val process = Path("/proc/$pid")
            val duration = ProcessHandle.of(pid).flatMap { it.info().totalCpuDuration() }
            return ResourceUse(
                processorMillis = duration.orElseThrow().toMillis(),
                residentBytes = field(process.resolve("status"), "VmRSS") * BYTES_PER_KIBIBYTE,
                readBytes = field(process.resolve("io"), "rchar"),
                writtenBytes = field(process.resolve("io"), "wchar"),
            )
        }

        private fun field(
            file: Path,
            name: String,
        ): Long {
            val line = file.readLines().first { it.startsWith("$name:") }
            return line.filter { it.isDigit() }.toLong()
        }
    }
}
