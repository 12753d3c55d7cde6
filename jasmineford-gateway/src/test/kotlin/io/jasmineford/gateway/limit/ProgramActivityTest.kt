package io.jasmineford.gateway.limit

import io.jasmineford.core.time.VirtualClock
import kotlin.test.Test
import kotlin.test.assertEquals

class ProgramActivityTest {
    private val activity = ProgramActivity(VirtualClock())

    @Test
    fun `only the first call of a program is new`() {
        assertEquals(AdmissionClass.NEW, activity.recordCall("p"))
        assertEquals(AdmissionClass.UNDER_WAY, activity.recordCall("p"))
    }

    @Test
    fun `a program that another daemon reported is in progress`() {
        activity.applyPeerCounts("other", mapOf("p" to 3))
        assertEquals(AdmissionClass.UNDER_WAY, activity.recordCall("p"))
    }

    @Test
    fun `a program that has spent its budget or makes too many calls is excessive`() {
        activity.recordBudgetSpent("p")
        assertEquals(AdmissionClass.EXCESSIVE, activity.recordCall("p"))
        repeat(100) { activity.recordCall("q") }
        assertEquals(AdmissionClass.EXCESSIVE, activity.recordCall("q"))
    }

    @Test
    fun `changed counts are returned once`() {
        activity.recordCall("p")
        assertEquals(mapOf("p" to 1), activity.takeChanges())
        assertEquals(emptyMap(), activity.takeChanges())
    }
}
