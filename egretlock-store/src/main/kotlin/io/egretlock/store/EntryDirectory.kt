package io.egretlock.store

import io.egretlock.core.roster.NodeAddress
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow

/**
 * Registry of the running entries in the platform's store: each entry holds a key under a lease, and processes that
 * look for entries watch the keys.
 */
class EntryDirectory(
    private val store: KeyValueStore,
    private val leases: LeaseStore,
) {
    /**
     * Keeps [address] registered until cancelled. Calls [onResult] with each failure, and with null after a success.
     */
    suspend fun keepRegistered(
        address: NodeAddress,
        onResult: (StoreException?) -> Unit,
    ): Nothing {
        var lease: Long? = null
        while (true) {
            try {
                lease = renewOrNull(lease) ?: putUnderNewLease(address)
                onResult(null)
                delay(RENEWAL_MILLIS)
            } catch (failure: StoreException) {
                onResult(failure)
                delay(RETRY_MILLIS)
            }
        }
    }

    /** Emits the addresses of all listed entries, at first and after each change. Fails with [StoreException]. */
    fun watch(): Flow<Set<NodeAddress>> =
        flow {
            val snapshot = store.read(PREFIX)
            val addresses = HashMap<String, NodeAddress>()
            snapshot.entries.forEach { entry -> parse(entry)?.let { addresses[entry.key] = it } }
            emit(addresses.values.toSet())
            store.watch(PREFIX, snapshot.revision).collect { entry ->
                val address = parse(entry)
                if (address == null) addresses.remove(entry.key) else addresses[entry.key] = address
                emit(addresses.values.toSet())
            }
        }

    private suspend fun renewOrNull(lease: Long?): Long? = lease?.takeIf { leases.renewLease(it) }

    private suspend fun putUnderNewLease(address: NodeAddress): Long {
        val lease = leases.grantLease(TIME_TO_LIVE_MILLIS)
        if (!leases.putWithLease("$PREFIX$address", "$address", lease)) throw StoreException("Lease $lease has ended.")
        return lease
    }

    private fun parse(entry: StoreEntry): NodeAddress? = entry.value?.let(NodeAddress::parse)

    companion object {
        private const val PREFIX = "egretlock/entries/"

        /** Duration of the lease of a listed entry; connections show sooner that an entry has ended. */
        private const val TIME_TO_LIVE_MILLIS = 10_000L
        private const val RENEWAL_MILLIS = 3_000L

        /** Delay after a failed call; an expired key has to be back within two seconds after the store recovers. */
        private const val RETRY_MILLIS = 500L
    }
}
