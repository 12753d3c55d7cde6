package io.jasmineford.gateway.endpoint

/**
 * Processes whose responses said that they are leaving. Outlasts their registrations: one that lapses during an outage
 * of the store comes back for the same process. Of an id the latest process is kept.
 */
internal class LeavingEndpoints {
    private val byId = object : LinkedHashMap<String, Endpoint>() {
        override fun removeEldestEntry(eldest: Map.Entry<String, Endpoint>) = size > MAX_REMEMBERED
    }

    /** Whether the process that [endpoint] registers is leaving. */
    operator fun contains(endpoint: Endpoint): Boolean = byId[endpoint.id]?.isSameProcessAs(endpoint) == true

    /** Records that the process of [endpoint] is leaving; returns whether that was not known. */
    fun add(endpoint: Endpoint): Boolean = (endpoint !in this).also { byId[endpoint.id] = endpoint }

    private companion object {
        /** Far more than leave within the time that a process takes to end. */
        const val MAX_REMEMBERED = 1024
    }
}
