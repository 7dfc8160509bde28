package io.egretlock.store.etcd

import io.egretlock.core.roster.NodeAddress

/**
 * Endpoints and timeouts of [EtcdStore].
 *
 * @property endpoints addresses of the store; after a failed call, the next one is used.
 * @property connectMillis time allowed for opening a connection.
 * @property callMillis time allowed for a whole call, except for watches, which have no time limit.
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
