package io.egretlock.store

/** Leases of the platform's key-value service: keys that are written under a lease disappear when it ends. */
interface LeaseStore {
    /** Grants a lease for [timeToLiveMillis]. Throws [StoreException]. */
    suspend fun grantLease(timeToLiveMillis: Long): Long

    /** Renews [lease]; returns false if it has ended. Throws [StoreException]. */
    suspend fun renewLease(lease: Long): Boolean

    /** Ends [lease], which removes its keys. Throws [StoreException]. */
    suspend fun endLease(lease: Long)

    /** Writes [key] under [lease]; returns false if the lease has ended. Throws [StoreException]. */
    suspend fun putLeased(
        key: String,
        value: String,
        lease: Long,
    ): Boolean
}
