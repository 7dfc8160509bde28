package io.egretlock.core.settings

/** The text that settings were parsed from; a parsed scalar no longer tells whether it was quoted. */
internal class SettingsSource(
    text: String,
) {
    private val lines = text.replace(BYTE_ORDER_MARK, "").lines()

    /** Whether [content] stands at [location] as it is, without quotes or another notation. */
    fun isPlain(
        content: String,
        location: TextLocation,
    ): Boolean {
        val line = lines.getOrNull(location.line - 1) ?: return false
        val before = location.column - 1
        if (before > line.codePointCount(0, line.length)) return false
        return line.startsWith(content, startIndex = line.offsetByCodePoints(0, before))
    }

    private companion object {
        /** Not counted as a column by the parser. */
        const val BYTE_ORDER_MARK = "\uFEFF"
    }
}
