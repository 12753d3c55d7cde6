package io.jasmineford.gateway.store

/**
 * Local copy of the objects of one kind, by name. An object is replaced or removed only at a higher revision, so stale
 * input never reverts it.
 */
internal class ObjectCache {
    private val objects = HashMap<String, StoredObject>()
    private val tombstones = HashMap<String, Long>()

    /** All objects. */
    val all: Collection<StoredObject> get() = objects.values

    /** Applies [next]; returns whether its revision is higher than the known one. */
    fun apply(next: StoredObject): Boolean {
        val known = maxOf(objects[next.name]?.revision ?: -1, tombstones[next.name] ?: -1)
        val isNewer = next.revision > known
        if (isNewer && next.isDeleted) {
            remove(next.name, next.revision)
        } else if (isNewer) {
            objects[next.name] = next
        }
        return isNewer
    }

    /** Objects that are not among [names] and whose latest change is at or before revision [asOf]. */
    fun missingFrom(names: Set<String>, asOf: Long): List<StoredObject> =
        objects.values.filter { it.name !in names && it.revision <= asOf }

    /**
     * Removes, as of revision [asOf], those of [missing] that have not changed since; returns whether any was removed.
     */
    fun removeUnchanged(missing: List<StoredObject>, asOf: Long): Boolean {
        val unchanged = missing.filter { objects[it.name]?.revision == it.revision }
        unchanged.forEach { remove(it.name, asOf) }
        return unchanged.isNotEmpty()
    }

    private fun remove(name: String, atRevision: Long) {
        objects.remove(name)
        tombstones[name] = atRevision
    }
}
