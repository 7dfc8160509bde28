package io.egretlock.store

/** Leases of the platform's key-value store: keys that are written under a lease are deleted when it ends. */
interface LeaseStore {
    /** Grants a lease with a duration of [timeToLiveMillis] and returns its id. Throws [StoreException]. */
    suspend fun grantLease(timeToLiveMillis: Long): Long

    /** Renews [lease]; returns false if the lease has ended. Throws [StoreException]. */
    suspend fun renewLease(lease: Long): Boolean

    /** Ends [lease], which deletes its keys. Throws [StoreException]. */
    suspend fun revokeLease(lease: Long)

    /** Writes [key] under [lease]; returns false if the lease has ended. Throws [StoreException]. */
    suspend fun putWithLease(
        key: String,
        value: String,
        lease: Long,
    ): Boolean
}
