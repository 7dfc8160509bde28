package io.egretlock.protocol

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor

/** Encodes messages as CBOR (RFC 8949). */
@OptIn(ExperimentalSerializationApi::class)
object MessageCodec {
    private val cbor = Cbor { ignoreUnknownKeys = true }

    /** Held, because `Message.serializer()` builds a table of all kinds of message at every call. */
    private val serializer = Message.serializer()

    /** Bytes of one frame body. */
    fun encode(message: Message): ByteArray = cbor.encodeToByteArray(serializer, message)

    /** Reads one frame body; throws [kotlinx.serialization.SerializationException] if it is no known message. */
    fun decode(bytes: ByteArray): Message = cbor.decodeFromByteArray(serializer, bytes)
}
