package io.jasmineford.core.key

import java.net.URLDecoder

/** One name and value of a request: a header field, a query parameter or a cookie. */
data class RequestField(
    val name: String,
    val value: String,
)

/**
 * A request from which the credentials were removed.
 *
 * @property keys the distinct keys that the caller presented, in any place.
 * @property target path and query without credentials.
 * @property headers headers without credentials.
 */
class SeparatedRequest(
    val keys: Set<String>,
    val target: String,
    val headers: List<RequestField>,
)

/**
 * Removes the credentials from a request. A key may be given as `Authorization: Bearer`, as `X-Api-Key`, or as a query
 * parameter or cookie named `key`, `api_key` or `access_token`. Credentials in other forms are removed and yield no
 * key.
 */
fun separateCredentials(target: String, headers: List<RequestField>): SeparatedRequest {
    val keys = linkedSetOf<String>()
    val kept = headers.mapNotNull { withoutCredentials(it, keys) }
    val path = target.substringBefore('?')
    val query = target.substringAfter('?', missingDelimiterValue = "")
    val parameters = query.split('&').filter { it.isNotEmpty() }.filterNot { isKeyParameter(it, keys) }
    val stripped = if (parameters.isEmpty()) path else "$path?${parameters.joinToString("&")}"
    return SeparatedRequest(keys.filter { it.isNotEmpty() }.toSet(), stripped, kept)
}

/**
 * Part of the request in which [key] still occurs after [separateCredentials], literally, percent-encoded or with JSON
 * escapes; null when there is none. Such a request must not run, because it would disclose the key to an endpoint or a
 * log.
 */
fun SeparatedRequest.placeOf(key: String, body: ByteArray): String? = when {
    holds(target, key) -> "path"
    headers.any { holds(it.name, key) || holds(it.value, key) } -> "header"
    holds(String(body), key) -> "body"
    else -> null
}

private fun withoutCredentials(field: RequestField, keys: MutableSet<String>): RequestField? {
    when (field.name.lowercase()) {
        "authorization" -> {
            val isBearer = field.value.startsWith(BEARER, ignoreCase = true)
            if (isBearer) keys += field.value.substring(BEARER.length).trim()
        }

        "x-api-key" -> keys += field.value.trim()
        "proxy-authorization" -> Unit
        "cookie" -> return withoutKeyCookies(field, keys)
        else -> return field
    }
    return null
}

private fun withoutKeyCookies(field: RequestField, keys: MutableSet<String>): RequestField? {
    val cookies = field.value.split(';').map { it.trim() }.filter { it.isNotEmpty() }
    val kept = cookies.filterNot { cookie ->
        val isKey = cookie.substringBefore('=').trim().lowercase() in KEY_NAMES
        if (isKey) keys += cookie.substringAfter('=', missingDelimiterValue = "").trim().trim('"')
        isKey
    }
    return if (kept.isEmpty()) null else field.copy(value = kept.joinToString("; "))
}

private fun isKeyParameter(parameter: String, keys: MutableSet<String>): Boolean {
    val isKey = percentDecoded(parameter.substringBefore('=')).lowercase() in KEY_NAMES
    if (isKey) keys += percentDecoded(parameter.substringAfter('=', missingDelimiterValue = ""))
    return isKey
}

private fun holds(text: String, key: String): Boolean =
    key in text ||
        ('%' in text && key in percentDecoded(text)) ||
        ('\\' in text && key in jsonUnescaped(text))

private fun percentDecoded(text: String): String = try {
    URLDecoder.decode(text, Charsets.UTF_8)
} catch (_: IllegalArgumentException) {
    // A percent sign without two hexadecimal digits: decode only the valid escapes.
    PERCENT_ESCAPE.replace(text) { it.groupValues[1].toInt(HEXADECIMAL).toChar().toString() }
}

private fun jsonUnescaped(text: String): String = JSON_ESCAPE.replace(text) { match ->
    val code = match.groupValues[1]
    if (code.isEmpty()) match.value.drop(1) else code.toInt(HEXADECIMAL).toChar().toString()
}

private val KEY_NAMES = setOf("key", "api_key", "access_token")
private val PERCENT_ESCAPE = Regex("%([0-9a-fA-F]{2})")
private val JSON_ESCAPE = Regex("""\\(?:u([0-9a-fA-F]{4})|["\\/])""")
private const val BEARER = "Bearer "
private const val HEXADECIMAL = 16
