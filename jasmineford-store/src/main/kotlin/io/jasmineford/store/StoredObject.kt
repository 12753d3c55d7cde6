package io.jasmineford.store

import kotlinx.serialization.Serializable

/** Largest value, in UTF-8 bytes, that the object API accepts. */
const val MAX_VALUE_BYTES: Int = 1 shl 20

/** Expected version in a put that creates an object: stands for an object that doesn't exist. */
const val ABSENT_VERSION: Long = 0

/**
 * One object of the platform's object API.
 *
 * @property key path-like name, for example `leases/vm-a1`.
 * @property version store-wide revision of the last write to this object; every write to the store increases the
 *   revision.
 * @property nonce chosen by the writer of this version, so that a writer that got no reply can recognise its write.
 * @property value text of at most [MAX_VALUE_BYTES] bytes.
 */
@Serializable
data class StoredObject(
    val key: String,
    val version: Long,
    val nonce: String,
    val value: String,
)

/**
 * One page of a list.
 *
 * @property objects in ascending order of keys.
 * @property revision store revision of the page's contents; a watch can start from it.
 * @property continueToken passed to the next call; null on the last page.
 */
@Serializable
data class ObjectPage(
    val objects: List<StoredObject>,
    val revision: Long,
    val continueToken: String? = null,
)

/** A change seen by a watch. [deleted] is true when the object no longer exists. */
@Serializable
data class WatchEvent(
    val changed: StoredObject,
    val deleted: Boolean = false,
)

/** Condition of a VM according to [ObjectStore.vms]. */
@Serializable
enum class VmCondition { LIVE, LEAVING }

/** One row of [ObjectStore.vms]. */
@Serializable
data class VmListing(
    val name: String,
    val availabilityZone: String,
    val condition: VmCondition,
)
