package io.jasmineford.core.config

/** One fault of a release note. [path] names the place, for example `added.routes[chat].deployment`. */
data class ReleaseError(
    val path: String,
    val problem: String,
) {
    override fun toString(): String = "$path: $problem"
}
