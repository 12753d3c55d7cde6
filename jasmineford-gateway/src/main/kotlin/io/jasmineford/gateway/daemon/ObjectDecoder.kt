package io.jasmineford.gateway.daemon

import com.github.michaelbull.result.Result
import io.jasmineford.gateway.config.GatewayConfig
import io.jasmineford.gateway.endpoint.Endpoint
import io.jasmineford.gateway.store.StoredObject

/** Decodes objects of the platform's store; an error is one line of text. */
interface ObjectDecoder {
    /** Decodes the configuration that operators publish. */
    fun configuration(stored: StoredObject): Result<GatewayConfig, String>

    /** Decodes a registered endpoint. */
    fun endpoint(stored: StoredObject): Result<Endpoint, String>
}
