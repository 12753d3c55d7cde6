package io.jasmineford.gateway.load

import kotlin.time.Duration

/** Divides the rate at which an overloaded daemon takes calls between the client accounts. */
internal class AccountLoads {
    private val byName = HashMap<String, AccountLoad>()

    /** Counts [call] and returns whether it is taken; [rate] is that of all accounts. */
    fun tryTake(call: PressureRequest, rate: Double, now: Duration): Boolean =
        byName.getOrPut(call.account) { newAccount(rate, now) }.tryTake(call.shedClass, now)

    /** Calls per second that arrive. */
    fun offeredRate(now: Duration): Double =
        byName.values.sumOf { account -> ShedClass.entries.sumOf { account.demand(it, now) } }

    /** Forgets all accounts. */
    fun clear() = byName.clear()

    /** Until its demand is known, an account gets the even part of the rate for calls that may be shed. */
    private fun newAccount(rate: Double, now: Duration) = AccountLoad(now).also {
        val part = rate / (byName.size + 1)
        it.grant(ShedClass.SINGLE, part, now)
        it.grant(ShedClass.STARTING, part * STARTING_PART, now)
    }

    /** Divides [rate]: programs under way first, then the others by what each account has used already. */
    fun distribute(rate: Double, now: Duration) {
        val loads = byName.values.toList()
        val underWay = loads.map { ShareDemand(used = 0.0, wanted = it.demand(ShedClass.UNDER_WAY, now)) }
        val firstLevel = fairLevel(underWay, rate)
        val used = underWay.map { it.servedAt(firstLevel) }
        val others = loads.mapIndexed { index, load ->
            val wanted = load.demand(ShedClass.SINGLE, now) + load.demand(ShedClass.STARTING, now)
            ShareDemand(used[index], wanted)
        }
        val secondLevel = fairLevel(others, (rate - used.sum()).coerceAtLeast(0.0))
        loads.forEachIndexed { index, load ->
            load.grant(ShedClass.UNDER_WAY, limitOf(used[index], underWay[index].wanted), now)
            val served = others[index].servedAt(secondLevel)
            val single = load.demand(ShedClass.SINGLE, now)
            val isCut = limitOf(served, others[index].wanted).isFinite()
            val starting = if (isCut) (served - single).coerceAtLeast(0.0) else Double.POSITIVE_INFINITY
            load.grant(ShedClass.SINGLE, limitOf(minOf(single, served), single), now)
            load.grant(ShedClass.STARTING, starting, now)
        }
    }

    /** A demand that is served whole is not limited, as it is an estimate. */
    private fun limitOf(served: Double, wanted: Double): Double =
        if (served >= wanted * WHOLE) Double.POSITIVE_INFINITY else served

    private companion object {
        /** Part of a new account's even share that may start programs. */
        const val STARTING_PART = 0.5

        /** Part of a demand that counts as all of it. */
        const val WHOLE = 0.999
    }
}
