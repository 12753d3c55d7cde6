package io.jasmineford.core.call

/** Outcome of a request as reported to the caller. [label] is the value of the `Jasmineford-Outcome` header. */
enum class Outcome(val label: String) {
    /** The request ran, and the answer is complete. */
    RESULT("result"),

    /** The request did not run and will not run. */
    REFUSED_NOT_RUN("refused-not-run"),

    /** The request ran completely or partially, and failed. */
    FAILED_RUN("failed-run"),

    /** The request may or may not have run; it will not be run again. */
    OUTCOME_UNKNOWN("outcome-unknown"),
}
