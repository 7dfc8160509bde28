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
 * One thread that runs coroutines, their timers and their sockets.
 *
 * Answers processes that serve many connections with little traffic each: where sockets, timers and coroutines have
 * threads of their own, every message wakes three of them, and waking them takes more processor time than the message.
 *
 * Coroutines whose dispatcher it is must not block. Anything may be dispatched from any thread; what is dispatched after
 * [close] is cancelled.
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
    private val mayBlock = AtomicBoolean()

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

    /** Ends the thread and closes all sockets; idempotent. */
    override fun close() {
        isClosed = true
        selector.wakeup()
    }

    /** Registers [channel], which is switched to non-blocking; on the loop's thread only. */
    internal fun register(channel: SelectableChannel): Readiness {
        channel.configureBlocking(false)
        return Readiness(channel.register(selector, 0)).also { it.key.attach(it) }
    }

    /** Runs [block] on the loop's thread. */
    internal fun post(block: Runnable) {
        tasks.add(block)
        if (Thread.currentThread() !== thread && mayBlock.compareAndSet(true, false)) selector.wakeup()
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
        selector.keys().toList().forEach { (it.attachment() as Readiness).close() }
        selector.close()
        runTasks()
    }

    /** Runs the tasks that are there now; those that they add wait until sockets were looked at. */
    private fun runTasks() {
        repeat(tasks.size) { guarded(tasks.poll() ?: return) }
    }

    private fun select() {
        val waitMillis = if (tasks.isEmpty()) timers.waitMillis(System.nanoTime()) else 0
        if (waitMillis == 0L) {
            selector.selectNow()
        } else {
            mayBlock.set(true)
            if (tasks.isEmpty() && !isClosed) selector.select(waitMillis)
            mayBlock.set(false)
        }
        val selected = selector.selectedKeys()
        selected.forEach { (it.attachment() as Readiness).selected() }
        selected.clear()
    }

    private fun LoopTimers.fire(nowNanos: Long) {
        while (true) guarded(nextDue(nowNanos) ?: return)
    }

    /** Coroutines handle their own failures, so that one that comes here is a fault of the program. */
    private fun guarded(block: Runnable) {
        try {
            block.run()
        } catch (failure: Exception) {
            logger.error(failure) { "A task of the event loop failed." }
        }
    }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L

        /** Longest delay that is told apart from for ever: a hundred years. */
        const val LONGEST_DELAY_MILLIS = 3_153_600_000_000L
    }
}
