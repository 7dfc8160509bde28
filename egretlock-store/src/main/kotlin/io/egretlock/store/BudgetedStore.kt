package io.egretlock.store

import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.catch
import kotlinx.coroutines.flow.onStart

/** Limits the calls to [store] by [budget], which also counts them in metrics. */
class BudgetedStore(
    private val store: KeyValueStore,
    private val budget: StoreCallBudget,
) : KeyValueStore {
    override suspend fun read(
        prefix: String,
        changedAfter: Long,
    ): StoreSnapshot = withinBudget(StoreCallKind.READ) { store.read(prefix, changedAfter) }

    override suspend fun compareAndSwap(
        key: String,
        expectedRevision: Long,
        value: String,
    ): SwapResult = withinBudget(StoreCallKind.WRITE) { store.compareAndSwap(key, expectedRevision, value) }

    override fun watch(
        prefix: String,
        revision: Long,
    ): Flow<StoreEntry> =
        store
            .watch(prefix, revision)
            .catch { failure ->
                budget.countFailure(StoreCallKind.WATCH)
                throw failure
            }.onStart { budget.take(StoreCallKind.WATCH) }

    private suspend fun <T> withinBudget(
        kind: StoreCallKind,
        call: suspend () -> T,
    ): T {
        budget.take(kind)
        return try {
            call()
        } catch (failure: StoreException) {
            budget.countFailure(kind)
            throw failure
        }
    }
}
