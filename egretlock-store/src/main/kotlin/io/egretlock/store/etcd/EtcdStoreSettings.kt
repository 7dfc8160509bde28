package io.egretlock.store.etcd

import io.egretlock.core.roster.NodeAddress

/**
 * Where the platform's store is and how long to wait for it.
 *
 * @property endpoints addresses of the store; the next one is tried after a failed call.
 * @property connectMillis time allowed for opening a connection.
 * @property callMillis time allowed for a whole call, except for watches, which wait without limit.
 */
data class EtcdStoreSettings(
    val endpoints: List<NodeAddress>,
    val connectMillis: Long = 500,
    val callMillis: Long = 1_500,
) {
    init {
        require(endpoints.isNotEmpty()) { "The store needs at least one endpoint." }
    }
}
