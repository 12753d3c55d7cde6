package io.jasmineford.core.call

/** What a caller is told about its request. [label] is the value of the `Jasmineford-Outcome` header. */
enum class Outcome(val label: String) {
    /** The request ran and this is its whole answer. */
    RESULT("result"),

    /** The request did not run and will not run. */
    REFUSED_NOT_RUN("refused-not-run"),

    /** The request ran, or ran in part, and failed. */
    FAILED_RUN("failed-run"),

    /** The request may or may not have run; it will not be run again. */
    OUTCOME_UNKNOWN("outcome-unknown"),
}
