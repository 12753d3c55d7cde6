package io.jasmineford.gateway.endpoint

import java.net.InetSocketAddress

/**
 * A registered endpoint.
 *
 * @property id unique to the process; another process at the same address has another one.
 * @property slots number of calls that it runs concurrently.
 * @property isDraining whether it takes no new calls because it is shutting down.
 * @property coldForMillis remaining warm-up time when this was reported; until then its calls are limited to
 * the cold rate of its service.
 * @property version version of its software, empty when it reports none; a stream may go on only at the version that
 * began it.
 * @property startedAtMillis Unix milliseconds of its start, 0 when it reports none.
 */
data class Endpoint(
    val id: String,
    val service: String,
    val address: InetSocketAddress,
    val zone: String,
    val slots: Int,
    val isDraining: Boolean,
    val coldForMillis: Long,
    val startedAtMillis: Long = 0,
    val version: String = "",
) {
    /**
     * Whether [other] registers the same process. Ids and addresses are used again, so the time of the start decides;
     * without it, the address does.
     */
    internal fun isSameProcessAs(other: Endpoint): Boolean {
        val hasStartTimes = startedAtMillis > 0 && other.startedAtMillis > 0
        val isSameStart = if (hasStartTimes) startedAtMillis == other.startedAtMillis else address == other.address
        return id == other.id && isSameStart
    }
}
