package io.jasmineford.daemon.endpoint

import io.jasmineford.core.config.Endpoint
import io.jasmineford.core.endpoint.AnswerSample
import io.jasmineford.core.endpoint.EndpointWindow
import io.jasmineford.core.endpoint.WindowSettings
import kotlin.time.Duration

/**
 * Adaptive concurrency windows of this VM, each at most the window configured for the endpoint. They are not shared
 * between VMs, so all VMs together may send several times the configured window. An endpoint starts with the whole
 * window, since the start of a VM doesn't mean that the endpoint is cold, and with the cold window after a crash or a
 * return to service.
 */
internal class LocalWindows {
    private val windows = HashMap<String, EndpointWindow>()

    /** Number of calls that this VM may have in flight at [endpoint]. */
    fun sizeOf(endpoint: Endpoint): Int = windowOf(endpoint).size

    /** Records an answer that came [after] this time since its dispatch. */
    fun answered(endpoint: Endpoint, after: Duration) = windowOf(endpoint).answered(AnswerSample(after))

    /** Records a crash or a return to service. Has no effect for an endpoint that this VM has not used yet. */
    fun markCold(endpoint: Endpoint) {
        windows[endpoint.address]?.resetToCold()
    }

    private fun windowOf(endpoint: Endpoint): EndpointWindow {
        val window = windows.getOrPut(endpoint.address) { EndpointWindow(SETTINGS, endpoint.window, startsCold = false) }
        window.max = endpoint.window
        return window
    }

    private companion object {
        /**
         * Disables the detection of cold endpoints by slow first tokens. The queue only sees the duration of whole
         * calls, which varies with their length, so only failures indicate a cold endpoint here.
         */
        const val DISABLED_JUMP = 1e9
        val SETTINGS = WindowSettings(coldWindow = 1, slowFirstTokenRatio = DISABLED_JUMP)
    }
}
