package io.jasmineford.core.program

import io.jasmineford.core.config.ScopedName
import kotlinx.serialization.Serializable

/**
 * Identifies a program of one client account. Programs of different accounts are different, even with the same [name].
 *
 * The name of a sub-agent's program is its parent's name, a slash and its own name, so that any VM can derive the tree
 * of a program from its name.
 */
@Serializable
data class ProgramId(
    val account: ScopedName,
    val name: String,
) {
    override fun toString(): String = "$account/$name"
}

/** Root of the program's tree; the program itself when it has no parent. */
val ProgramId.root: ProgramId get() = copy(name = name.substringBefore('/'))

/** Parent of the program, or null for a root. */
val ProgramId.parent: ProgramId?
    get() = if ('/' in name) copy(name = name.substringBeforeLast('/')) else null

/** Input of the shard hash. All programs of a tree share it, since they share a budget and so must share an owner. */
val ProgramId.shardName: String get() = root.toString()

/** Key of the program's KV cache in engines; unique across accounts. */
val ProgramId.engineCacheKey: String get() = toString()

/** Program whose [engineCacheKey] is [name], or null when [name] has another format. */
fun programOfEngineCacheKey(name: String): ProgramId? {
    val parts = name.split('/', limit = CACHE_KEY_PARTS)
    if (parts.size != CACHE_KEY_PARTS) return null
    return ProgramId(ScopedName(parts[0], parts[1]), parts[2])
}

private const val CACHE_KEY_PARTS = 3
