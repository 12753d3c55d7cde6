package io.jasmineford.core.program

import io.jasmineford.core.config.ScopedName
import kotlinx.serialization.Serializable

/**
 * A program of one account. Two accounts may use the same [name]; they are different programs.
 *
 * The name of a sub-agent's program is its parent's name, a slash and a name of its own, so that every VM can tell the
 * tree that a program belongs to.
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

/** Text that is hashed to find the shard. All programs of a tree share it, since they share a budget. */
val ProgramId.shardName: String get() = root.toString()

/** Name under which engines hold the program's keys and values; two accounts' programs never share one. */
val ProgramId.engineName: String get() = toString()

/** Program of the [engineName] [name], or null when it is not one. */
fun programOfEngineName(name: String): ProgramId? {
    val parts = name.split('/', limit = ENGINE_NAME_PARTS)
    if (parts.size != ENGINE_NAME_PARTS) return null
    return ProgramId(ScopedName(parts[0], parts[1]), parts[2])
}

private const val ENGINE_NAME_PARTS = 3
