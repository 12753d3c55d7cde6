package io.jasmineford.daemon.endpoint

import io.jasmineford.core.config.Endpoint
import io.jasmineford.core.endpoint.AnswerSample
import io.jasmineford.core.endpoint.EndpointWindow
import io.jasmineford.core.endpoint.WindowSettings
import kotlin.time.Duration

/**
 * Adaptive windows of this VM alone, each up to the configured window. They stand in until slots are borrowed from the
 * endpoint's owner: all VMs together may still send several times the window. An endpoint starts with the whole window,
 * since a new VM is no sign of a cold endpoint, and with the cold window after a crash or a return to service.
 */
internal class LocalWindows {
    private val windows = HashMap<String, EndpointWindow>()

    /** Slots of this VM at [endpoint]. */
    fun sizeOf(endpoint: Endpoint): Int = windowOf(endpoint).size

    /** Takes an answer that came [after] its dispatch. */
    fun answered(endpoint: Endpoint, after: Duration) = windowOf(endpoint).answered(AnswerSample(after))

    /** Takes a crash or a return to service; does nothing for an endpoint that was not in use before. */
    fun turnedCold(endpoint: Endpoint) {
        windows[endpoint.address]?.resetToCold()
    }

    private fun windowOf(endpoint: Endpoint): EndpointWindow {
        val window = windows.getOrPut(endpoint.address) { EndpointWindow(SETTINGS, endpoint.window, startsCold = false) }
        window.max = endpoint.window
        return window
    }

    private companion object {
        /** The queue sees whole calls only, whose time varies with their length; only failures show cold here. */
        const val UNUSED_JUMP = 1e9
        val SETTINGS = WindowSettings(coldWindow = 1, slowFirstTokenRatio = UNUSED_JUMP)
    }
}
