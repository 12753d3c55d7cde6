package io.jasmineford.daemon.call

import kotlinx.io.IOException

/** The connection to the VM that owns a program's shard failed or was never made; the call may have run there. */
internal class ShardOwnerLostException(val problem: String) : IOException(problem)
