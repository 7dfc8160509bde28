package io.egretlock.agent

import jdk.net.ExtendedSocketOptions
import java.net.InetAddress
import java.net.Socket
import java.net.SocketOption
import java.net.StandardSocketOptions
import javax.net.SocketFactory

/**
 * Creates sockets with TCP keepalive, so that a call on a dead connection fails within seconds instead of at the task's
 * deadline.
 */
internal object KeepAliveSocketFactory : SocketFactory() {
    private const val IDLE_SECONDS = 2
    private const val INTERVAL_SECONDS = 1
    private const val PROBES = 3

    override fun createSocket(): Socket =
        Socket().apply {
            setOption(StandardSocketOptions.SO_KEEPALIVE, true)
            setIfSupported(ExtendedSocketOptions.TCP_KEEPIDLE, IDLE_SECONDS)
            setIfSupported(ExtendedSocketOptions.TCP_KEEPINTERVAL, INTERVAL_SECONDS)
            setIfSupported(ExtendedSocketOptions.TCP_KEEPCOUNT, PROBES)
        }

    override fun createSocket(
        host: String,
        port: Int,
    ): Socket = throw UnsupportedOperationException("Only unconnected sockets can be created.")

    override fun createSocket(
        host: String,
        port: Int,
        localHost: InetAddress,
        localPort: Int,
    ): Socket = createSocket(host, port)

    override fun createSocket(
        host: InetAddress,
        port: Int,
    ): Socket = createSocket(host.hostAddress, port)

    override fun createSocket(
        address: InetAddress,
        port: Int,
        localAddress: InetAddress,
        localPort: Int,
    ): Socket = createSocket(address.hostAddress, port)

    private fun Socket.setIfSupported(
        option: SocketOption<Int>,
        value: Int,
    ) {
        if (option in supportedOptions()) setOption(option, value)
    }
}
