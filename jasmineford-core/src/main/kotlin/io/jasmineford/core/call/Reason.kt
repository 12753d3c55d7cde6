package io.jasmineford.core.call

/**
 * Machine-readable reason of an answer that is not a result.
 *
 * @property label value of the `Jasmineford-Reason` header and last part of the problem type (RFC 9457).
 * @property status HTTP status code.
 * @property title one-line summary, sent as the problem's title.
 */
enum class Reason(
    val label: String,
    val status: Int,
    val title: String,
) {
    BAD_REQUEST("bad-request", 400, "The request is malformed."),
    MISSING_KEY("missing-key", 401, "The route needs a key."),
    UNKNOWN_KEY("unknown-key", 401, "The key is not known or was withdrawn."),
    KEY_WITHDRAWN("key-withdrawn", 401, "The key was withdrawn while the request was running."),
    ROUTE_NOT_ALLOWED("route-not-allowed", 403, "The account may not use this route."),
    OTHER_ACCOUNT("other-account", 403, "The program belongs to another account."),
    UNKNOWN_ROUTE("unknown-route", 404, "No such route."),
    UNKNOWN_PROGRAM("unknown-program", 404, "No such program; only its first turn opens it."),
    WRONG_TURN("wrong-turn", 409, "The turn number is not the program's next one."),
    PROGRAM_BUSY("program-busy", 409, "The program has a call in flight."),
    PROGRAM_CLOSED("program-closed", 409, "The program has ended."),
    HISTORY_MISMATCH("history-mismatch", 409, "The history differs from the program's own."),
    HISTORY_TOO_LARGE("history-too-large", 413, "The history exceeds its limit."),
    IDEMPOTENCY_KEY_MISSING("idempotency-key-missing", 400, "The route needs an idempotency key."),
    IDEMPOTENCY_KEY_REUSED("idempotency-key-reused", 422, "The idempotency key was used with another request."),
    BUDGET_CALLS("budget-calls", 402, "The program's call budget is spent."),
    BUDGET_TOKENS("budget-tokens", 402, "The program's token budget is spent."),
    BUDGET_TIME("budget-time", 402, "The program's wall time budget is spent."),
    RATE_EXCEEDED("rate-exceeded", 429, "The account's rate is used up."),
    QUARANTINED("quarantined", 422, "The request crashed endpoints and is no longer run."),
    DEADLINE_EXCEEDED("deadline-exceeded", 504, "The deadline passed."),
    CONFIGURATION_TOO_OLD("configuration-too-old", 503, "This VM can't prove that its configuration is current."),
    STORE_UNAVAILABLE("store-unavailable", 503, "The request could not be made durable."),
    KEEPER_UNREACHABLE("keeper-unreachable", 503, "The VM that keeps the program can't be reached."),
    KEEPER_LOST("keeper-lost", 502, "The VM that keeps the program was lost during the call."),
    VM_LEAVING("vm-leaving", 503, "This VM is leaving; ask for another address."),
    NO_ENDPOINT("no-endpoint", 503, "No endpoint of the deployment takes work."),
    ENDPOINT_FAILED("endpoint-failed", 502, "The endpoint failed."),
    ENDPOINT_TIMEOUT("endpoint-timeout", 504, "The endpoint did not answer in time."),
    INTENT_UNRESOLVED("intent-unresolved", 409, "An earlier attempt may have run; its outcome is not known."),
    ANSWER_NOT_KEPT("answer-not-kept", 409, "The call ran; its answer was too large to be kept or is not text."),
    INTERNAL("internal", 500, "A fault inside the system."),
    FENCED("fenced", 503, "This VM no longer keeps the program."),
}
