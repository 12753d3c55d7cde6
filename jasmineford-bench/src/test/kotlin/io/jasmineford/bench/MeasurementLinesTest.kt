package io.jasmineford.bench

import com.github.michaelbull.result.get
import kotlin.test.Test
import kotlin.test.assertEquals

/** Pins the JSON lines of `bench run`, which stored runs hold and `bench compare` reads. */
class MeasurementLinesTest {
    @Test
    fun `a measurement is encoded and decoded with every field`() {
        val measurement = Measurement("scenario-1", "variant-1", "measure-1", 1.5, "ms", 2.5, 7)
        val text = """{"scenario":"scenario-1","variant":"variant-1","measure":"measure-1","value":1.5,"unit":"ms",""" +
            """"bound":2.5,"seed":7}"""
        assertEquals(text, measurement.toLine())
        assertEquals(listOf(measurement), parseMeasurements("\n$text\n").get())
    }

    @Test
    fun `a measurement without a bound has an explicit null`() {
        val measurement = Measurement("scenario-1", "variant-1", "measure-1", 1.5, "ms", null, 7)
        val text = """{"scenario":"scenario-1","variant":"variant-1","measure":"measure-1","value":1.5,"unit":"ms",""" +
            """"bound":null,"seed":7}"""
        assertEquals(text, measurement.toLine())
        assertEquals(listOf(measurement), parseMeasurements(text).get())
    }
}
