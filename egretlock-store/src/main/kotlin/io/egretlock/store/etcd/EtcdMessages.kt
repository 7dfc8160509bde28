package io.egretlock.store.etcd

import kotlinx.serialization.EncodeDefault
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.LongAsStringSerializer
import kotlinx.serialization.json.Json
import java.util.Base64

/**
 * JSON messages of the etcd v3 API that the system uses. Keys and values are encoded as Base64, 64-bit numbers as JSON
 * strings; fields with their default value may be absent.
 */
object EtcdMessages {
    /** Encodes and decodes the messages; ignores fields that the system does not use. */
    val json: Json =
        Json {
            ignoreUnknownKeys = true
            explicitNulls = false
        }

    /** Encodes the UTF-8 bytes of [text] as Base64. */
    fun encode(text: String): String = Base64.getEncoder().encodeToString(text.toByteArray())

    /** Decodes Base64 text to a UTF-8 string. */
    fun decode(encoded: String): String = String(Base64.getDecoder().decode(encoded))

    /** First key after all keys that start with [prefix], which must not be empty. */
    fun endOfPrefix(prefix: String): String = prefix.dropLast(1) + (prefix.last() + 1)
}

/** Header of each response; [revision] is the revision of the whole store. */
@Serializable
data class ResponseHeader(
    @Serializable(LongAsStringSerializer::class)
    val revision: Long = 0,
)

/** A key with its value and the revision of its last change. */
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

/** Response to [RangeRequest]. */
@Serializable
data class RangeResponse(
    val header: ResponseHeader = ResponseHeader(),
    val kvs: List<KeyValue> = emptyList(),
)

/** Body of `POST /v3/kv/txn`: executes [success] if all of [compare] hold, otherwise [failure]. */
@Serializable
data class TransactionRequest(
    val compare: List<Comparison>,
    val success: List<RequestOperation>,
    val failure: List<RequestOperation>,
)

/** Condition that the last change of [key] has revision [modRevision]; 0 means that the key is absent. */
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

/** Operation of a transaction; exactly one of the fields is set. */
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

/** Response to [TransactionRequest]. */
@Serializable
data class TransactionResponse(
    val header: ResponseHeader = ResponseHeader(),
    val succeeded: Boolean = false,
    val responses: List<ResponseOperation> = emptyList(),
)

/** Response to one operation of a transaction. */
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

/** Requests the changes from revision [startRevision] on. */
@Serializable
data class WatchCreateRequest(
    val key: String,
    @SerialName("range_end")
    val rangeEnd: String? = null,
    @SerialName("start_revision")
    @Serializable(LongAsStringSerializer::class)
    val startRevision: Long = 0,
)

/** Object in the response stream to [WatchRequest]. */
@Serializable
data class WatchMessage(
    val result: WatchResponse? = null,
)

/** Changes of keys, or the end of the watch if [canceled]. */
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

/** Change of a key; [type] is `DELETE` or `PUT`, which is the default. */
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
