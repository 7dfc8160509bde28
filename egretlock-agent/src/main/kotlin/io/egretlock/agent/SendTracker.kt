package io.egretlock.agent

import okhttp3.Call
import okhttp3.EventListener
import okhttp3.Interceptor
import okhttp3.Response
import java.io.IOException

/** Notes whether any byte of a request may have left this process. */
internal class SendTracker : EventListener() {
    /** False as long as the request has provably not been sent. */
    @Volatile
    var mayHaveSent: Boolean = false
        private set

    override fun requestHeadersStart(call: Call) {
        mayHaveSent = true
    }
}

/**
 * Keeps OkHttp from sending a request again by itself. A 503 answer with `Retry-After: 0` is the case that no setting
 * of OkHttp turns off, so the header is taken from the answer.
 */
internal object SingleSend : Interceptor {
    override fun intercept(chain: Interceptor.Chain): Response {
        val tracker = chain.request().tag(SendTracker::class.java)
        if (tracker != null && tracker.mayHaveSent) throw IOException("The request was sent before.")
        return chain
            .proceed(chain.request())
            .newBuilder()
            .removeHeader("Retry-After")
            .build()
    }
}
