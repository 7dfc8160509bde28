package io.egretlock.bench.report

/** Draws the figures of a result as horizontal bars, with one group for each load and measure. */
internal class BarPlot(
    private val result: ScenarioResult,
) {
    private val lines = ArrayList<String>()
    private var top = ROW_HEIGHT

    /** The plot as an SVG document. */
    fun svg(): String {
        text(0, "${result.scenario}, seed ${result.seed}, ${result.repeats} repeats", isBold = true)
        result.figures.groupBy { it.load to it.measure }.forEach { (key, figures) ->
            text(0, "${key.first}: ${key.second}", isBold = true)
            val largest = figures.maxOf { it.value }.takeIf { it.isFinite() && it > 0 } ?: 1.0
            figures.forEach { figure -> bar(figure, figure.value / largest) }
        }
        val size = "width=\"$WIDTH\" height=\"$top\" font-family=\"sans-serif\" font-size=\"$FONT_SIZE\""
        return "<svg xmlns=\"http://www.w3.org/2000/svg\" $size>\n${lines.joinToString("\n")}\n</svg>\n"
    }

    private fun bar(
        figure: Figure,
        share: Double,
    ) {
        val width = (BAR_WIDTH * share.coerceIn(0.0, 1.0)).toInt()
        val y = top - FONT_SIZE
        lines += "<rect x=\"$BAR_LEFT\" y=\"$y\" width=\"$width\" height=\"$FONT_SIZE\" fill=\"steelblue\"/>"
        lines += "<text x=\"${BAR_LEFT + width + GAP}\" y=\"$top\">${"%.4g".format(figure.value)}</text>"
        text(GAP, figure.variant, isBold = false)
    }

    private fun text(
        left: Int,
        content: String,
        isBold: Boolean,
    ) {
        val weight = if (isBold) " font-weight=\"bold\"" else ""
        lines += "<text x=\"${left + GAP}\" y=\"$top\"$weight>$content</text>"
        top += ROW_HEIGHT
    }

    private companion object {
        const val WIDTH = 900
        const val BAR_LEFT = 260
        const val BAR_WIDTH = 520
        const val ROW_HEIGHT = 18
        const val FONT_SIZE = 12
        const val GAP = 6
    }
}
