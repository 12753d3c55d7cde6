package io.jasmineford.gateway.http

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException

/**
 * Whether a request has a host and at most one indication of its length. Anything else could be parsed as two requests
 * by the next server (request smuggling).
 */
internal fun HttpHeaders.haveUnambiguousFraming(): Boolean {
    val lengths = getAll(HttpHeaderNames.CONTENT_LENGTH).size
    val isChunked = contains(HttpHeaderNames.TRANSFER_ENCODING)
    return contains(HttpHeaderNames.HOST) && lengths <= 1 && !(isChunked && lengths > 0)
}

/** Response status for a message that can't be decoded. */
internal fun HttpObject.rejectionStatus(): HttpResponseStatus = when (decoderResult().cause()) {
    is TooLongHttpLineException,
    is TooLongHttpHeaderException,
    -> HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
    else -> HttpResponseStatus.BAD_REQUEST
}
