package io.jasmineford.report

import com.charleskorn.kaml.Yaml
import io.jasmineford.core.call.Outcome
import io.jasmineford.core.objective.BurnWindows
import io.jasmineford.core.objective.Objective
import io.jasmineford.core.objective.Promise
import io.jasmineford.core.objective.callerReasons
import kotlinx.serialization.Serializable
import kotlin.time.Duration

@Serializable
private data class RuleFile(val groups: List<RuleGroup>)

@Serializable
private data class RuleGroup(val name: String, val rules: List<AlertRule>)

@Serializable
private data class AlertRule(
    val alert: String,
    val expr: String,
    val labels: Map<String, String>,
    val annotations: Map<String, String>,
)

/** Prometheus alert rules for [objectives] over the daemons' metric `jasmineford_calls_total`, as YAML. */
fun alertRules(objectives: List<Objective>): String {
    val rules = objectives.flatMap { objective ->
        listOf(
            rule(objective, "Fast", BurnWindows.FAST_SHORT, BurnWindows.FAST_LONG, FAST_BURN_THRESHOLD, "page"),
            rule(objective, "Slow", BurnWindows.SLOW_SHORT, BurnWindows.SLOW_LONG, SLOW_BURN_THRESHOLD, "ticket"),
        )
    }
    val file = RuleFile(listOf(RuleGroup("jasmineford-burn", rules)))
    return Yaml.default.encodeToString(RuleFile.serializer(), file)
}

private fun rule(
    objective: Objective,
    speed: String,
    short: Duration,
    long: Duration,
    threshold: Double,
    severity: String,
): AlertRule {
    val name = objective.promise.name.lowercase()
    val limit = "%.6f".format(java.util.Locale.ROOT, threshold * (1 - objective.target))
    return AlertRule(
        alert = "Jasmineford${name.replaceFirstChar { it.uppercase() }}${speed}Burn",
        expr = listOf(short, long).joinToString(" and ") { "(${brokenShare(objective.promise, it)} > $limit)" },
        labels = mapOf("severity" to severity),
        annotations = mapOf(
            "summary" to "Account {{ \$labels.account }} burns the budget of '$name' (target ${objective.target}) on route " +
                "{{ \$labels.route }} in {{ \$labels.zone }} more than $threshold times too fast",
        ),
    )
}

private fun brokenShare(promise: Promise, window: Duration): String {
    val callers = callerReasons.joinToString("|") { it.label }
    val counted = "reason!~\"$callers\""
    val broken = when (promise) {
        Promise.ANSWERED -> "outcome!=\"${Outcome.RESULT.label}\",$counted"
        Promise.ADMITTED -> "outcome=\"${Outcome.REFUSED_NOT_RUN.label}\",$counted"
    }
    fun rate(selector: String) =
        "sum by (account, route, zone) (rate(jasmineford_calls_total{$selector}[${window.inWholeMinutes}m]))"
    return "${rate(broken)} / ${rate(counted)}"
}
