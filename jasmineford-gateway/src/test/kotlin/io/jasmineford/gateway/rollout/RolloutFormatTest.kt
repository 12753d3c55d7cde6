package io.jasmineford.gateway.rollout

import kotlinx.serialization.json.Json
import kotlin.test.Test
import kotlin.test.assertEquals

/** Names of what daemons tell each other of rollouts. Guards against releases that ignore each other's fields. */
class RolloutFormatTest {
    @Test
    fun `the names of the fields of a state are fixed`() {
        val state = RolloutState("m", "v2", 7, RolloutPhase.DRAIN, 900, 30, true, RolloutOutcome.ROLLED_BACK)
        val text = """{"s":"m","t":"v2","o":7,"p":"DRAIN","e":900,"a":30,"x":true,"f":"ROLLED_BACK"}"""
        assertEquals(text, Json.encodeToString(RolloutState.serializer(), state))
    }

    @Test
    fun `the names of the fields of a report are fixed`() {
        val tally = RouteTally("r", isNew = true, sent = 6, ended = 5, failed = 4, slow = 3, micros = 2)
        val report = RolloutReport(1, "m", 7, 3, RolloutPhase.CANARY, 2, listOf(tally), mapOf(9 to 4))
        val text = """{"i":1,"s":"m","o":7,"q":3,"p":"CANARY","f":2,""" +
            """"t":[{"r":"r","n":true,"c":6,"e":5,"f":4,"s":3,"m":2}],"b":{"9":4}}"""
        assertEquals(text, Json.encodeToString(RolloutReport.serializer(), report))
    }
}
