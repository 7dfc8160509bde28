package io.egretlock.entry

import io.egretlock.core.job.ProcessId
import io.egretlock.core.roster.EntryMember
import io.egretlock.protocol.EntryHello
import io.egretlock.protocol.LinkTiming
import io.egretlock.protocol.Message
import io.egretlock.sockets.EventLoop
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** The connections that this entry dials to other entries, created on first use. */
internal class PeerConnections(
    private val hello: EntryHello,
    private val listener: PeerListener,
    private val loop: EventLoop,
    private val timing: LinkTiming,
    private val scope: CoroutineScope,
) : PeerCalls {
    private val connections = ConcurrentHashMap<ProcessId, PeerConnection>()
    private val requests = AtomicLong()

    override suspend fun call(
        member: EntryMember,
        timeoutMillis: Long,
        message: (Long) -> Message,
    ): Message? {
        val request = requests.incrementAndGet()
        val connection = connection(member)
        return withTimeoutOrNull(timeoutMillis) { connection.call(request, message(request)) }
            .also { connection.abandon(request) }
    }

    /** Sends [member] a message that has no reply; it is dropped while the member is not connected. */
    fun tell(
        member: EntryMember,
        message: Message,
    ) = connection(member).tell(message)

    /** Connects to all [members] and ends the connections to others. */
    fun connectOnly(members: List<EntryMember>) {
        val wanted = members.map { it.entry }.toSet()
        members.forEach { connection(it) }
        connections.keys.filter { it !in wanted }.forEach { connections.remove(it)?.stop() }
    }

    private fun connection(member: EntryMember): PeerConnection =
        connections.computeIfAbsent(member.entry) {
            PeerConnection(member, hello, listener, loop, timing, scope).also { it.start() }
        }
}
