package io.egretlock.store.etcd

import kotlinx.serialization.EncodeDefault
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.LongAsStringSerializer
import kotlinx.serialization.json.Json
import java.util.Base64

/**
 * The messages of the etcd v3 API in their JSON form, as far as the system uses them. Keys and values are Base64;
 * 64-bit numbers are JSON strings; fields with their default value may be absent.
 */
object EtcdMessages {
    /** Reads and writes the messages; fields that the system does not use are ignored. */
    val json: Json =
        Json {
            ignoreUnknownKeys = true
            explicitNulls = false
        }

    /** Base64 form of [text] in UTF-8. */
    fun encode(text: String): String = Base64.getEncoder().encodeToString(text.toByteArray())

    /** Text whose Base64 form is [encoded]. */
    fun decode(encoded: String): String = String(Base64.getDecoder().decode(encoded))

    /** First key after all keys that start with [prefix], which must not be empty. */
    fun endOfPrefix(prefix: String): String = prefix.dropLast(1) + (prefix.last() + 1)
}

/** Header of every answer; [revision] is that of the whole store. */
@Serializable
data class ResponseHeader(
    @Serializable(LongAsStringSerializer::class)
    val revision: Long = 0,
)

/** One key with its value and the revision of its last change. */
@Serializable
data class KeyValue(
    val key: String,
    val value: String = "",
    @SerialName("mod_revision")
    @Serializable(LongAsStringSerializer::class)
    val modRevision: Long = 0,
)

/** Body of `POST /v3/kv/range`. Without [rangeEnd], only [key] itself is read. */
@Serializable
data class RangeRequest(
    val key: String,
    @SerialName("range_end")
    val rangeEnd: String? = null,
    @SerialName("min_mod_revision")
    @Serializable(LongAsStringSerializer::class)
    val minModRevision: Long = 0,
)

/** Answer to [RangeRequest]. */
@Serializable
data class RangeResponse(
    val header: ResponseHeader = ResponseHeader(),
    val kvs: List<KeyValue> = emptyList(),
)

/** Body of `POST /v3/kv/txn`: if all of [compare] hold, [success] is done, else [failure]. */
@Serializable
data class TransactionRequest(
    val compare: List<Comparison>,
    val success: List<RequestOperation>,
    val failure: List<RequestOperation>,
)

/** Holds if the last change of [key] has revision [modRevision]; 0 stands for an absent key. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
data class Comparison(
    val key: String,
    @SerialName("mod_revision")
    @EncodeDefault
    @Serializable(LongAsStringSerializer::class)
    val modRevision: Long = 0,
    @EncodeDefault
    val target: String = "MOD",
    @EncodeDefault
    val result: String = "EQUAL",
)

/** One operation of a transaction: exactly one of the fields is set. */
@Serializable
data class RequestOperation(
    @SerialName("request_put")
    val put: PutRequest? = null,
    @SerialName("request_range")
    val range: RangeRequest? = null,
)

/** Sets [key] to [value]. */
@Serializable
data class PutRequest(
    val key: String,
    val value: String,
)

/** Answer to [TransactionRequest]. */
@Serializable
data class TransactionResponse(
    val header: ResponseHeader = ResponseHeader(),
    val succeeded: Boolean = false,
    val responses: List<ResponseOperation> = emptyList(),
)

/** Answer to one operation of a transaction. */
@Serializable
data class ResponseOperation(
    @SerialName("response_range")
    val range: RangeResponse? = null,
)

/** Body of `POST /v3/watch`. */
@Serializable
data class WatchRequest(
    @SerialName("create_request")
    val create: WatchCreateRequest,
)

/** Asks for the changes from [startRevision] on. */
@Serializable
data class WatchCreateRequest(
    val key: String,
    @SerialName("range_end")
    val rangeEnd: String? = null,
    @SerialName("start_revision")
    @Serializable(LongAsStringSerializer::class)
    val startRevision: Long = 0,
)

/** One object of the stream that answers [WatchRequest]. */
@Serializable
data class WatchMessage(
    val result: WatchResponse? = null,
)

/** Changes, or the end of the watch. */
@Serializable
data class WatchResponse(
    val header: ResponseHeader = ResponseHeader(),
    val created: Boolean = false,
    val canceled: Boolean = false,
    @SerialName("compact_revision")
    @Serializable(LongAsStringSerializer::class)
    val compactRevision: Long = 0,
    val events: List<WatchEvent> = emptyList(),
)

/** One change; [type] is `DELETE`, or `PUT` if absent. */
@Serializable
data class WatchEvent(
    val type: String = TYPE_PUT,
    val kv: KeyValue,
) {
    /** Values of [type]. */
    companion object {
        const val TYPE_PUT = "PUT"
        const val TYPE_DELETE = "DELETE"
    }
}
