package io.jasmineford.cli

import com.github.ajalt.clikt.core.main

/** Entry point of the command line. */
fun main(args: Array<String>) = rootCommand().main(args)
