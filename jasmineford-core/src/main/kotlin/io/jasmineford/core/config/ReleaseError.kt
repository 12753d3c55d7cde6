package io.jasmineford.core.config

/** One error in a release note. [path] is the place of the error, for example `added.routes[chat].deployment`. */
data class ReleaseError(
    val path: String,
    val problem: String,
) {
    override fun toString(): String = "$path: $problem"
}
