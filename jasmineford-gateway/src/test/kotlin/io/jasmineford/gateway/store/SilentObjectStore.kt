package io.jasmineford.gateway.store

import kotlinx.serialization.json.JsonElement
import kotlin.time.Duration

/** Store that answers no call; fakes override the calls that they answer. */
internal open class SilentObjectStore : ObjectStoreClient {
    override fun list(kind: ObjectKind, after: String?, onReply: (StoreReply<ObjectPage>) -> Unit) = Unit

    override fun watch(kind: ObjectKind, revision: Long, wait: Duration, onReply: (StoreReply<ObjectPage>) -> Unit) =
        Unit

    override fun put(kind: ObjectKind, name: String, spec: JsonElement, onReply: (StoreReply<Unit>) -> Unit) = Unit

    override fun replace(
        kind: ObjectKind,
        name: String,
        spec: JsonElement,
        revision: Long,
        onReply: (StoreReply<Unit>) -> Unit,
    ) = Unit

    override fun putStatus(
        kind: ObjectKind,
        name: String,
        status: JsonElement,
        onReply: (StoreReply<Unit>) -> Unit,
    ) = Unit

    override fun replaceStatus(
        kind: ObjectKind,
        name: String,
        status: JsonElement,
        revision: Long,
        onReply: (StoreReply<Unit>) -> Unit,
    ) = Unit

    override fun delete(kind: ObjectKind, name: String, onReply: (StoreReply<Unit>) -> Unit) = Unit
}
