package io.jasmineford.gateway.store

import kotlinx.serialization.json.JsonElement
import kotlin.time.Duration

/**
 * An object of the platform's store. [revision] rises with each change and is comparable with [ObjectPage.revision].
 */
data class StoredObject(
    val name: String,
    val revision: Long,
    val spec: JsonElement?,
    val isDeleted: Boolean = false,
    val status: JsonElement? = null,
)

/** One page of objects. [after] is the name after which the next page starts, null on the last page. */
data class ObjectPage(
    val objects: List<StoredObject>,
    val revision: Long,
    val after: String?,
)

/** Result of a store call. */
sealed interface StoreReply<out T> {
    /** The call was executed. */
    data class Success<T>(val value: T) : StoreReply<T>

    /** The call returned no value. */
    sealed interface Failure : StoreReply<Nothing>

    /** The object exists already or has another revision. */
    data object Conflict : Failure

    /** There is no such object. */
    data object NotFound : Failure

    /** The store has dropped its change history from the requested revision on; the objects must be listed again. */
    data object HistoryGone : Failure

    /** The store rejected the call with HTTP status [status] and changed nothing. */
    data class Refused(val status: Int) : Failure

    /** There was no readable answer; the call may have been executed or may still be. */
    data class Unknown(val reason: String) : Failure
}

/** Kinds of objects that the daemons read or write. */
enum class ObjectKind { CONFIGURATION, ENDPOINT, EVACUATION, RETIREMENT, MEMBER, ROLLOUT }

/** Asynchronous client of the platform's store. Each call gets exactly one reply, on the control thread. */
interface ObjectStoreClient {
    /** Reads one page of the objects of [kind], from the first one or after the name [after]. */
    fun list(kind: ObjectKind, after: String?, onReply: (StoreReply<ObjectPage>) -> Unit)

    /** Waits up to [wait] for changes of objects of [kind] after [revision]. */
    fun watch(kind: ObjectKind, revision: Long, wait: Duration, onReply: (StoreReply<ObjectPage>) -> Unit)

    /** Creates an object, or replaces its content when it exists already. */
    fun put(kind: ObjectKind, name: String, spec: JsonElement, onReply: (StoreReply<Unit>) -> Unit)

    /**
     * Replaces the content of the object if it still has [revision], or creates it when [revision] is 0. Otherwise the
     * reply is [StoreReply.Conflict].
     */
    fun replace(kind: ObjectKind, name: String, spec: JsonElement, revision: Long, onReply: (StoreReply<Unit>) -> Unit)

    /** Replaces the status of an object. */
    fun putStatus(kind: ObjectKind, name: String, status: JsonElement, onReply: (StoreReply<Unit>) -> Unit)

    /** Replaces the status of an object if it still has [revision]; otherwise the reply is [StoreReply.Conflict]. */
    fun replaceStatus(
        kind: ObjectKind,
        name: String,
        status: JsonElement,
        revision: Long,
        onReply: (StoreReply<Unit>) -> Unit,
    )

    /** Removes an object. */
    fun delete(kind: ObjectKind, name: String, onReply: (StoreReply<Unit>) -> Unit)
}
