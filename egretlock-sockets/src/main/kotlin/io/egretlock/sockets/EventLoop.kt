package io.egretlock.sockets

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.Delay
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.DisposableHandle
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.InternalCoroutinesApi
import kotlinx.coroutines.Runnable
import kotlinx.coroutines.cancel
import kotlinx.coroutines.disposeOnCancellation
import java.nio.channels.SelectableChannel
import java.nio.channels.Selector
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.coroutines.CoroutineContext

private val logger = KotlinLogging.logger {}

/**
 * Coroutine dispatcher with a single thread, which also serves the timers and sockets of the coroutines.
 *
 * Suited to processes that serve many connections with little traffic each. If sockets, timers and coroutines had
 * threads of their own, every message would wake three threads, which takes more processor time than the message.
 *
 * Coroutines on this dispatcher must not block. Blocks may be dispatched from any thread; one dispatched after [close]
 * is cancelled.
 */
@OptIn(InternalCoroutinesApi::class, ExperimentalCoroutinesApi::class)
class EventLoop(
    name: String,
) : CoroutineDispatcher(),
    Delay,
    AutoCloseable {
    private val selector = Selector.open()
    private val tasks = ConcurrentLinkedQueue<Runnable>()
    private val timers = LoopTimers()
    private val needsWakeup = AtomicBoolean()

    @Volatile
    private var isClosed = false
    private val thread = Thread(::run, name).apply { isDaemon = true }

    init {
        thread.start()
    }

    override fun dispatch(
        context: CoroutineContext,
        block: Runnable,
    ) {
        if (isClosed) {
            context.cancel(CancellationException("The event loop is closed."))
            Dispatchers.Default.dispatch(context, block)
        } else {
            post(block)
        }
    }

    override fun scheduleResumeAfterDelay(
        timeMillis: Long,
        continuation: CancellableContinuation<Unit>,
    ) {
        val resumption = Runnable { with(continuation) { resumeUndispatched(Unit) } }
        continuation.disposeOnCancellation(schedule(timeMillis, resumption))
    }

    override fun invokeOnTimeout(
        timeMillis: Long,
        block: Runnable,
        context: CoroutineContext,
    ): DisposableHandle = schedule(timeMillis, block)

    /** Stops the thread and closes all sockets; idempotent. */
    override fun close() {
        isClosed = true
        selector.wakeup()
    }

    /** Switches [channel] to non-blocking mode and registers it; called on the loop's thread only. */
    internal fun register(channel: SelectableChannel): SocketReadiness {
        channel.configureBlocking(false)
        return SocketReadiness(channel.register(selector, 0)).also { it.key.attach(it) }
    }

    /** Runs [block] on the loop's thread. */
    internal fun post(block: Runnable) {
        tasks.add(block)
        if (Thread.currentThread() !== thread && needsWakeup.compareAndSet(true, false)) selector.wakeup()
    }

    private fun schedule(
        timeMillis: Long,
        action: Runnable,
    ): LoopTimer {
        val timer =
            LoopTimer(System.nanoTime() + timeMillis.coerceIn(0, LONGEST_DELAY_MILLIS) * NANOS_PER_MILLI, action)
        if (Thread.currentThread() === thread) timers.add(timer) else post { timers.add(timer) }
        return timer
    }

    private fun run() {
        while (!isClosed) {
            runTasks()
            timers.fire(System.nanoTime())
            select()
        }
        selector.keys().toList().forEach { (it.attachment() as SocketReadiness).close() }
        selector.close()
        runTasks()
    }

    /** Runs the tasks that are queued now; tasks that they add run after the next poll of the sockets. */
    private fun runTasks() {
        repeat(tasks.size) { runLogged(tasks.poll() ?: return) }
    }

    private fun select() {
        val waitMillis = if (tasks.isEmpty()) timers.waitMillis(System.nanoTime()) else 0
        if (waitMillis == 0L) {
            selector.selectNow()
        } else {
            needsWakeup.set(true)
            if (tasks.isEmpty() && !isClosed) selector.select(waitMillis)
            needsWakeup.set(false)
        }
        val selected = selector.selectedKeys()
        selected.forEach { (it.attachment() as SocketReadiness).onSelected() }
        selected.clear()
    }

    private fun LoopTimers.fire(nowNanos: Long) {
        while (true) runLogged(pollDue(nowNanos) ?: return)
    }

    /** Runs [block] and logs a failure, which is a bug: coroutines handle their own failures. */
    private fun runLogged(block: Runnable) {
        try {
            block.run()
        } catch (failure: Exception) {
            logger.error(failure) { "A task of the event loop failed." }
        }
    }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L

        /** Upper limit of delays, a hundred years; longer ones are shortened to it. */
        const val LONGEST_DELAY_MILLIS = 3_153_600_000_000L
    }
}
