package io.jasmineford.gateway.config

import io.jasmineford.gateway.account
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.time.Duration.Companion.seconds

class GatewayConfigTest {
    private fun route(name: String, prefix: String) = Route(
        name = name,
        host = "Club.example",
        pathPrefix = prefix,
        kind = RouteKind.SAFE,
        timeout = 1.seconds,
        targetLatency = 1.seconds,
        priority = 0,
        services = listOf(WeightedService("app", 1)),
    )

    private val config = GatewayConfig(
        version = 1,
        routes = listOf(route("short", "/a/"), route("long", "/a/b/")),
        services = emptyList(),
        accounts = listOf(account(name = "club")),
        limits = CallLimits(1000, 1000, 1.seconds, 1.seconds),
    )

    @Test
    fun `the route with the longest matching prefix of the host is chosen`() {
        assertEquals("long", config.routeOf("club.example:80", "/a/b/c")?.name)
        assertEquals("short", config.routeOf("CLUB.example", "/a/bc")?.name)
        assertNull(config.routeOf("club.example", "/a"))
        assertNull(config.routeOf("other.example", "/a/"))
    }

    @Test
    fun `a key belongs to its account and unknown keys to none`() {
        assertEquals("club", config.accountOf("key-of-club")?.name)
        assertNull(config.accountOf("key"))
        assertNull(config.accountOf(null))
    }
}
