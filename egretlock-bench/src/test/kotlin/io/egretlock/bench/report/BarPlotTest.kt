package io.egretlock.bench.report

import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class BarPlotTest {
    @Test
    fun `given figures, when drawn, then the largest value has the longest bar`() {
        val figures = listOf(Figure("load", "a", "mean", 2.0), Figure("load", "b", "mean", 4.0))
        val svg = BarPlot(ScenarioResult("steady", 1, 1, 1_000.0, figures, emptyList())).svg()
        assertTrue("width=\"260\"" in svg && "width=\"520\"" in svg, svg)
    }
}
