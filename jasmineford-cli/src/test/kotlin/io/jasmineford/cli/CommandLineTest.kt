package io.jasmineford.cli

import com.github.ajalt.clikt.testing.test
import java.io.File
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.io.path.createTempFile
import kotlin.io.path.writeText
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

class CommandLineTest {
    @Test
    fun `every command has a help text`() {
        val commands = listOf("release publish", "zone out", "vm in", "status", "settings check", "entry", "quickstart")
        for (command in commands + "placement explain") {
            val result = rootCommand().test("$command --help")
            assertEquals(0, result.statusCode, "expected exit code 0 of '$command --help', actual ${result.output}")
            assertContains(result.stdout, "Usage: jasmineford $command")
        }
    }

    @Test
    fun `invalid settings are reported with key, value and accepted range, one line each`() {
        val text = "vm: a b\nzone: z\nplatformUrl: http://127.0.0.1:1\nshards: 0\nleaseRenewEveryMs: 5000\n"
        val result = rootCommand().test("settings check ${fileOf(text)}")
        assertEquals(EXIT_BAD_INPUT, result.statusCode)
        val expected = listOf(
            "vm: expected letters, digits, dots and dashes, actual 'a b'",
            "shards: expected 1 to 100000, actual 0",
            "leaseRenewEveryMs: expected at most half of leaseTimeToLiveMs, 3000, actual 5000",
        )
        assertEquals(expected, result.stderr.trim().lines())
    }

    @Test
    fun `a setting with a unit in its value is rejected with the accepted range`() {
        val text = "vm: a\nzone: z\nplatformUrl: http://127.0.0.1:1\ncallDeadlineMs: 5s\n"
        val result = rootCommand().test("settings check ${fileOf(text)}")
        assertEquals(EXIT_BAD_INPUT, result.statusCode)
        assertContains(result.stderr, "callDeadlineMs: line 4")
        assertContains(result.stderr, "expected a whole number from 10 to 3600000")
    }

    @Test
    fun `an unknown setting is rejected by name`() {
        val result = rootCommand().test("settings check ${fileOf("vm: a\nzone: z\nplatformUrl: x\nshard: 4\n")}")
        assertEquals(EXIT_BAD_INPUT, result.statusCode)
        assertContains(result.stderr, "shard: line 4: Unknown property 'shard'")
    }

    @Test
    fun `the example settings and the example release note are accepted`() {
        val settings = File("../examples/settings").listFiles().orEmpty().sorted()
        assertEquals(3, settings.size)
        for (file in settings) {
            val result = rootCommand().test("settings check $file")
            assertEquals(0, result.statusCode, "expected $file to be accepted, actual ${result.stderr}")
        }
        val result = rootCommand().test("release check --first ../examples/league.yaml")
        assertEquals("ok: would become generation 1", result.stdout.trim())
    }

    @Test
    fun `an operator port that does not answer gives one line of error and its own exit code`() {
        val result = rootCommand().test("status --operator 127.0.0.1:1")
        assertEquals(3, result.statusCode)
        assertEquals(1, result.stderr.trim().lines().size)
    }

    @Test
    fun `an entry daemon whose port is in use names the setting and the address in one line`() {
        ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { taken ->
            for (setting in listOf("callerPort", "operatorPort", "peerPort")) {
                val text = "vm: a\nzone: z\nplatformUrl: http://127.0.0.1:1\n$setting: ${taken.localPort}\n"
                val result = rootCommand().test("entry --settings ${fileOf(text)}")
                assertEquals(EXIT_BAD_INPUT, result.statusCode)
                assertEquals(1, result.stderr.trim().lines().size, result.stderr)
                assertContains(result.stderr, "$setting: can't open 127.0.0.1:${taken.localPort}")
            }
        }
    }

    private fun fileOf(text: String) = createTempFile(suffix = ".yaml").apply { writeText(text) }
}
