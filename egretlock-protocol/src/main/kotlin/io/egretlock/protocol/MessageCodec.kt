package io.egretlock.protocol

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor

/** Encodes and decodes messages as CBOR (RFC 8949). */
@OptIn(ExperimentalSerializationApi::class)
object MessageCodec {
    private val cbor = Cbor { ignoreUnknownKeys = true }

    /** Cached, because `Message.serializer()` builds a table of all message types at each call. */
    private val serializer = Message.serializer()

    /** Encodes [message] as a frame body. */
    fun encode(message: Message): ByteArray = cbor.encodeToByteArray(serializer, message)

    /**
     * Decodes a frame body. Throws [java.io.IOException] if it exceeds [CborBounds], and
     * [kotlinx.serialization.SerializationException] if it is not a known message.
     */
    fun decode(bytes: ByteArray): Message {
        CborBounds.check(bytes)
        return cbor.decodeFromByteArray(serializer, bytes)
    }
}
