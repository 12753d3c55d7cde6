package io.jasmineford.gateway.peer

/**
 * The members without the overloaded ones, but at least half of the members of each zone: more callers than those would
 * overload the remaining ones too.
 */
internal fun List<Member>.withoutOverloaded(isOverloaded: (Member) -> Boolean): List<Member> {
    val overloaded = filter(isOverloaded).toSet()
    if (overloaded.isEmpty()) return this
    val kept = groupBy { it.zone }.values.flatMap { zone ->
        val leastCount = (zone.size + 1) / 2
        zone.sortedBy { it in overloaded }.filterIndexed { rank, member -> rank < leastCount || member !in overloaded }
    }.toSet()
    return filter { it in kept }
}
