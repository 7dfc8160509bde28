package io.egretlock.agent

import okhttp3.Call
import okhttp3.EventListener
import okhttp3.Interceptor
import okhttp3.Response
import java.io.IOException

/** Records whether any byte of a request may have left this process. */
internal class SendTracker : EventListener() {
    /** False only while the request has certainly not been sent. */
    @Volatile
    var mayHaveSent: Boolean = false
        private set

    override fun requestHeadersStart(call: Call) {
        mayHaveSent = true
    }
}

/**
 * Prevents OkHttp from sending a request again. No setting of OkHttp disables the repetition after a 503 response with
 * `Retry-After: 0`, so the header is removed from responses.
 */
internal object AtMostOnceInterceptor : Interceptor {
    override fun intercept(chain: Interceptor.Chain): Response {
        val tracker = chain.request().tag(SendTracker::class.java)
        if (tracker != null && tracker.mayHaveSent) throw IOException("The request has already been sent.")
        return chain
            .proceed(chain.request())
            .newBuilder()
            .removeHeader("Retry-After")
            .build()
    }
}
