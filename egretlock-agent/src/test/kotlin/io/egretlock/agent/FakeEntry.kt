package io.egretlock.agent

import io.egretlock.core.job.ProcessId
import io.egretlock.core.roster.NodeAddress
import io.egretlock.core.settings.StoredTeamSettings
import io.egretlock.protocol.AgentHello
import io.egretlock.protocol.Link
import io.egretlock.protocol.LinkListener
import io.egretlock.protocol.LinkTiming
import io.egretlock.protocol.Message
import io.egretlock.protocol.Welcome
import io.egretlock.sockets.EventLoop
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout

/** Fake entry: welcomes agents, passes each connection to the test and closes none by itself. */
internal class FakeEntry(
    @Volatile private var id: ProcessId = ProcessId("entry-1", 1),
    private val settings: List<StoredTeamSettings> = emptyList(),
    timing: LinkTiming = LinkTiming(),
) : AutoCloseable {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val loop = EventLoop("sockets")
    private val sessions = Channel<Session>(Channel.UNLIMITED)
    private val listener =
        runBlocking { LinkListener.bind(NodeAddress("127.0.0.1", 0), loop, scope, timing) { welcome(it) } }

    /** Address that agents dial. */
    val address: NodeAddress = NodeAddress("127.0.0.1", listener.port)

    /** The next connection that an agent opens. */
    suspend fun session(): Session = withTimeout(DEADLINE_MILLIS) { sessions.receive() }

    /** Simulates a restart at the same address: takes the next incarnation and closes the connections of [open]. */
    fun restart(open: List<Session>) {
        id = id.copy(incarnation = id.incarnation + 1)
        open.forEach { it.link.close() }
    }

    override fun close() {
        listener.close()
        scope.cancel()
        loop.close()
    }

    private suspend fun welcome(link: Link) {
        val hello = link.incoming.receive() as AgentHello
        link.send(Welcome(id, emptyList(), settings))
        sessions.send(Session(link, hello))
    }

    /** One connection of an agent. */
    class Session(
        val link: Link,
        val hello: AgentHello,
    ) {
        fun send(message: Message) = link.send(message)

        /** The next message of type [T]; others before it are skipped. */
        suspend inline fun <reified T : Message> receive(): T =
            withTimeout(DEADLINE_MILLIS) {
                var message = link.incoming.receive()
                while (message !is T) message = link.incoming.receive()
                message
            }
    }

    companion object {
        /** Time after which a test that waits fails. */
        const val DEADLINE_MILLIS = 20_000L
    }
}
