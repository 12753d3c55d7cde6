package io.jasmineford.gateway.store

import kotlinx.serialization.json.JsonElement
import kotlin.time.Duration

/** An object of the platform's store. */
data class StoredObject(
    val name: String,
    val revision: Long,
    val spec: JsonElement?,
    val isDeleted: Boolean = false,
)

/** Objects of a kind; [after] continues an incomplete list. */
data class ObjectPage(
    val objects: List<StoredObject>,
    val revision: Long,
    val after: String?,
)

/** Result of a store call. */
sealed interface StoreReply<out T> {
    /** The call was executed. */
    data class Success<T>(val value: T) : StoreReply<T>

    /** The call gave no value. */
    sealed interface Failure : StoreReply<Nothing>

    /** The object exists already or has another revision. */
    data object Conflict : Failure

    /** There is no such object. */
    data object NotFound : Failure

    /** The history from the requested revision on is gone; list again. */
    data object HistoryGone : Failure

    /** The store said no; nothing was done. */
    data class Refused(val status: Int) : Failure

    /** No answer: the call may have been executed or may be executed later. */
    data class Unknown(val reason: String) : Failure
}

/** Kinds of objects that the daemons read or write. */
enum class ObjectKind { CONFIGURATION, ENDPOINT, EVACUATION, RETIREMENT, MEMBER }

/** Calls of the platform's store. Replies arrive on the control thread, exactly one for each call. */
interface ObjectStoreClient {
    /** One page of the objects of [kind], from the start or after a name. */
    fun list(kind: ObjectKind, after: String?, onReply: (StoreReply<ObjectPage>) -> Unit)

    /** Waits up to [wait] for changes of [kind] after [revision]. */
    fun watch(kind: ObjectKind, revision: Long, wait: Duration, onReply: (StoreReply<ObjectPage>) -> Unit)

    /** Creates an object, or replaces its content when it exists. */
    fun put(kind: ObjectKind, name: String, spec: JsonElement, onReply: (StoreReply<Unit>) -> Unit)

    /**
     * Replaces the content of the object with [revision], or creates it when that is 0; else the reply is a conflict.
     */
    fun replace(kind: ObjectKind, name: String, spec: JsonElement, revision: Long, onReply: (StoreReply<Unit>) -> Unit)

    /** Replaces the status of an object. */
    fun putStatus(kind: ObjectKind, name: String, status: JsonElement, onReply: (StoreReply<Unit>) -> Unit)

    /** Removes an object. */
    fun delete(kind: ObjectKind, name: String, onReply: (StoreReply<Unit>) -> Unit)
}
