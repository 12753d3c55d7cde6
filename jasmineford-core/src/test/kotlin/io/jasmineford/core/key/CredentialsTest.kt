package io.jasmineford.core.key

import io.jasmineford.core.config.ScopedName
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse

/** Guards against a key that is left in a request, and against a key that is resolved to the wrong account. */
class CredentialsTest {
    @Test
    fun `keys are removed from any combination of places and everything else is kept`() {
        val random = Random(seed = 11)
        repeat(2_000) { round ->
            val key = "k" + random.nextLong().toULong().toString(36)
            val headers = listOf(
                RequestField("authorization", "bearer $key"),
                RequestField("X-API-Key", key),
                RequestField("Cookie", "a=b; api_key=$key; c=d"),
                RequestField("Accept", "text/plain"),
            ).filter { random.nextBoolean() }
            val query = listOf("key=$key", "x=1", "API%5FKEY=$key", "access_token=$key", "y=%20z").filter { random.nextBoolean() }
            val target = "/services/stock/a" + if (query.isEmpty()) "" else "?" + query.joinToString("&")
            val separated = separateCredentials(target, headers)
            val given = headers.any { key in it.value } || query.any { key in it }
            assertEquals(if (given) setOf(key) else emptySet(), separated.keys, "round $round: $target $headers")
            assertFalse(key in separated.target + separated.headers, "round $round: expected no key in $target $headers")
            assertEquals(query.filter { key !in it }, separated.target.substringAfter('?', "").split('&').filter { it.isNotEmpty() })
            val cookies = separated.headers.filter { it.name == "Cookie" }.map { it.value }
            assertEquals(headers.filter { it.name == "Cookie" }.map { "a=b; c=d" }, cookies)
        }
    }

    @Test
    fun `each of 2500 keys is resolved to its own account and other keys to none`() {
        val index = KeyIndex((1..2_500).map { digestOfKey("key $it") to ScopedName("org", "account $it") })
        for (number in 1..2_500) {
            assertEquals(ScopedName("org", "account $number"), index.accountOf(digestOfKey("key $number")))
            assertEquals(null, index.accountOf(digestOfKey("other $number")))
        }
    }
}
