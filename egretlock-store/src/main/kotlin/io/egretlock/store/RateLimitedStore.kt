package io.egretlock.store

import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.catch
import kotlinx.coroutines.flow.onStart

/** Limits the calls to [store] by [rateLimiter], which also counts them in metrics. */
class RateLimitedStore(
    private val store: KeyValueStore,
    private val rateLimiter: StoreRateLimiter,
) : KeyValueStore {
    override suspend fun read(
        prefix: String,
        changedAfter: Long,
    ): StoreSnapshot = withinLimit(StoreCallKind.READ) { store.read(prefix, changedAfter) }

    override suspend fun compareAndSwap(
        key: String,
        expectedRevision: Long,
        value: String,
    ): SwapResult = withinLimit(StoreCallKind.WRITE) { store.compareAndSwap(key, expectedRevision, value) }

    override fun watch(
        prefix: String,
        revision: Long,
    ): Flow<StoreEntry> =
        store
            .watch(prefix, revision)
            .catch { failure ->
                rateLimiter.countFailure(StoreCallKind.WATCH)
                throw failure
            }.onStart { rateLimiter.take(StoreCallKind.WATCH) }

    private suspend fun <T> withinLimit(
        kind: StoreCallKind,
        call: suspend () -> T,
    ): T {
        rateLimiter.take(kind)
        return try {
            call()
        } catch (failure: StoreException) {
            rateLimiter.countFailure(kind)
            throw failure
        }
    }
}
