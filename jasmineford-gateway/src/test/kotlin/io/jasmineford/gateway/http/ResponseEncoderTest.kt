package io.jasmineford.gateway.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpResponseEncoder
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import java.io.ByteArrayOutputStream
import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals

/** Guards against parts of a stream that are framed otherwise than as chunks, and against buffers that are kept. */
class ResponseEncoderTest {
    private val sizes = listOf(1, 15, 16, 17, 255, 256, 4095, 4096, 65_535, 65_536, 1_048_576, 0, 2)

    private fun encode(encoder: HttpResponseEncoder, partOf: (ByteBuf) -> HttpContent): ByteArray {
        val channel = EmbeddedChannel(encoder)
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK)
        HttpUtil.setTransferEncodingChunked(response, true)
        channel.writeOutbound(response)
        val parts = sizes.map { size -> Unpooled.buffer(size).writeBytes(ByteArray(size) { (it % PERIOD).toByte() }) }
        parts.forEach { channel.writeOutbound(partOf(it)) }
        channel.writeOutbound(LastHttpContent.EMPTY_LAST_CONTENT)
        val bytes = ByteArrayOutputStream()
        var buffer = channel.readOutbound<ByteBuf?>()
        while (buffer != null) {
            buffer.readBytes(bytes, buffer.readableBytes())
            buffer.release()
            buffer = channel.readOutbound()
        }
        channel.finishAndReleaseAll()
        assertEquals(listOf(), parts.filter { it.refCnt() > 0 }, "buffers that are kept")
        return bytes.toByteArray()
    }

    @Test
    fun `parts of a stream are the same bytes as chunks`() {
        val expected = encode(HttpResponseEncoder(), ::DefaultHttpContent)
        assertContentEquals(expected, encode(ResponseEncoder(), ::StreamPart))
    }

    private companion object {
        const val PERIOD = 127
    }
}
