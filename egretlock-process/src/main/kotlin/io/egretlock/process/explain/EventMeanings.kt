package io.egretlock.process.explain

/** Meanings of event numbers, read from the catalogue docs/EVENTS.md, which the build packs beside this class. */
class EventMeanings internal constructor(
    catalogue: String,
) {
    private val meanings =
        catalogue
            .lineSequence()
            .mapNotNull { ROW.find(it) }
            .associate { row -> row.groupValues[1].toInt() to row.groupValues[2] }

    /** Meaning of the event with this [number]. */
    fun of(number: Int): String = meanings[number] ?: "(a number that this version does not know)"

    companion object {
        private val ROW = Regex("""^\| (\d{4}) \| \w+ \| (.+?) \|""")

        /** Reads the catalogue that was built with this version. */
        fun load(): EventMeanings {
            val catalogue =
                checkNotNull(EventMeanings::class.java.getResource("EVENTS.md")) { "EVENTS.md is missing." }
            return EventMeanings(catalogue.readText())
        }
    }
}
