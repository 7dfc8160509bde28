package io.egretlock.protocol

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray

/** Encodes messages as CBOR (RFC 8949). */
@OptIn(ExperimentalSerializationApi::class)
object MessageCodec {
    private val cbor = Cbor { ignoreUnknownKeys = true }

    /** Bytes of one frame body. */
    fun encode(message: Message): ByteArray = cbor.encodeToByteArray(message)

    /** Reads one frame body; throws [kotlinx.serialization.SerializationException] if it is no known message. */
    fun decode(bytes: ByteArray): Message = cbor.decodeFromByteArray(bytes)
}
