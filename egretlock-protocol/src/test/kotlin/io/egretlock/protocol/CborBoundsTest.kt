package io.egretlock.protocol

import io.egretlock.core.job.FailureDomain
import io.egretlock.core.job.JobId
import io.egretlock.core.job.ProcessId
import io.egretlock.core.job.ServiceName
import io.egretlock.core.roster.NodeAddress
import io.egretlock.core.run.OrderedRun
import io.egretlock.core.run.Room
import io.egretlock.core.run.RunOrder
import io.egretlock.core.run.UpstreamReport
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertDoesNotThrow
import org.junit.jupiter.api.assertThrows
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import java.io.IOException
import kotlin.random.Random

class CborBoundsTest {
    private val entry = RunEntryHello(ProcessId("e", 7), FailureDomain("marka"), listOf(NodeAddress("10.0.0.1", 80)))
    private val report = UpstreamReport("u@1", ServiceName("s"), Room(64_000, 9), Room(1, 2), 0.5, accepting = true)
    private val order =
        RunOrder(3, JobId("5c0e7a21d94b36f8"), "text", List(8) { OrderedRun(0, it, 1, Room(5, 6), 7.0) })
    private val messages = listOf(Heartbeat(1, 2), entry, UpstreamReported(report, 4), StartRuns(order))

    @Test
    fun `messages of this protocol are within the bounds`() =
        messages.forEach { message -> assertEquals(message, MessageCodec.decode(MessageCodec.encode(message))) }

    @Test
    fun `deep nesting is rejected`() {
        val nested = ByteArray(100_000) { 0x81.toByte() }
        assertThrows<IOException> { CborBounds.check(nested) }
        assertThrows<IOException> { CborBounds.check(ByteArray(100_000) { 0x9F.toByte() }) }
    }

    @Test
    fun `lengths beyond the frame are rejected`() {
        val heads = listOf(0x9B, 0xBB, 0x7B, 0x5B)
        for (head in heads) {
            val largest = byteArrayOf(head.toByte(), 0x7F, -1, -1, -1, -1, -1, -1, -1)
            assertThrows<IOException> { CborBounds.check(largest) }
            val negative = byteArrayOf(head.toByte(), -1, -1, -1, -1, -1, -1, -1, -1)
            assertThrows<IOException> { CborBounds.check(negative) }
        }
        assertThrows<IOException> { CborBounds.check(byteArrayOf(0x9A.toByte(), 0x7F, -1, -1, -1)) }
    }

    @Test
    fun `lists and texts of indefinite length are allowed`() {
        assertDoesNotThrow { CborBounds.check(byteArrayOf(0x9F.toByte(), 0x01, 0x20, 0xF6.toByte(), 0xFF.toByte())) }
        assertDoesNotThrow { CborBounds.check(byteArrayOf(0x7F, 0x61, 0x61, 0xFF.toByte())) }
    }

    @ParameterizedTest
    @ValueSource(ints = [1, 2, 3, 4])
    fun `mutated frames cause exceptions, not errors`(seed: Int) {
        val random = Random(seed)
        repeat(ROUNDS) {
            val frame = MessageCodec.encode(messages.random(random))
            repeat(random.nextInt(1, MAX_MUTATIONS)) { frame[random.nextInt(frame.size)] = random.nextInt().toByte() }
            val failure = runCatching { MessageCodec.decode(frame.copyOf(random.nextInt(1, frame.size + 1))) }
            assertFalse(failure.exceptionOrNull() is Error, "${failure.exceptionOrNull()}")
        }
    }

    private companion object {
        const val ROUNDS = 2_000
        const val MAX_MUTATIONS = 5
    }
}
