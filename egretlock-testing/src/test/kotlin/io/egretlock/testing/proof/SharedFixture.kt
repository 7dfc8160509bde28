package io.egretlock.testing.proof

import io.egretlock.testing.system.TestSystem
import io.egretlock.testing.system.startSystem
import org.junit.jupiter.api.extension.AfterAllCallback
import org.junit.jupiter.api.extension.BeforeAllCallback
import org.junit.jupiter.api.extension.ExtensionContext

/** Makes one [value] for all tests of a class and closes it after them; registered as a static extension. */
internal class SharedFixture<T : AutoCloseable>(
    private val make: () -> T,
) : BeforeAllCallback,
    AfterAllCallback {
    private var made: T? = null

    /** What the tests share; only from the class's first test on. */
    val value: T
        get() = checkNotNull(made) { "No test of the class has begun." }

    override fun beforeAll(context: ExtensionContext) {
        made = make()
    }

    override fun afterAll(context: ExtensionContext) {
        made?.close()
    }
}

/** A [smallSystem] for all tests of a class. */
internal fun sharedSmallSystem(): SharedFixture<TestSystem> = SharedFixture { startSystem { smallSystem() } }
