package io.egretlock.core.settings

/** Text from which settings were parsed. It shows whether a scalar was quoted, which the parsed scalar does not. */
internal class SettingsSource(
    text: String,
) {
    private val lines = text.replace(BYTE_ORDER_MARK, "").lines()

    /** Whether the scalar [content] at [location] is plain: written without quotes or block notation. */
    fun isPlain(
        content: String,
        location: TextLocation,
    ): Boolean {
        val line = lines.getOrNull(location.line - 1) ?: return false
        val precedingCodePoints = location.column - 1
        if (precedingCodePoints > line.codePointCount(0, line.length)) return false
        return line.startsWith(content, startIndex = line.offsetByCodePoints(0, precedingCodePoints))
    }

    private companion object {
        /** Byte order mark at the start of a text; the parser doesn't count it as a column. */
        const val BYTE_ORDER_MARK = "\uFEFF"
    }
}
