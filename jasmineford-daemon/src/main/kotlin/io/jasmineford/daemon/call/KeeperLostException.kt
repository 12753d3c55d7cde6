package io.jasmineford.daemon.call

import kotlinx.io.IOException

/** The connection to the keeper of a program broke, or was never made; the call may or may not have run there. */
internal class KeeperLostException(val problem: String) : IOException(problem)
