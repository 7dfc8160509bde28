package io.egretlock.testing.proof

import io.egretlock.testing.system.TestSystem
import io.egretlock.testing.system.startSystem
import org.junit.jupiter.api.extension.AfterAllCallback
import org.junit.jupiter.api.extension.BeforeAllCallback
import org.junit.jupiter.api.extension.ExtensionContext

/** Creates one [value] for all tests of a class and closes it after them; must be registered as a static extension. */
internal class SharedFixture<T : AutoCloseable>(
    private val create: () -> T,
) : BeforeAllCallback,
    AfterAllCallback {
    private var created: T? = null

    /** The shared object; available once the tests of the class begin. */
    val value: T
        get() = checkNotNull(created) { "No test of the class has begun." }

    override fun beforeAll(context: ExtensionContext) {
        created = create()
    }

    override fun afterAll(context: ExtensionContext) {
        created?.close()
    }
}

/** A [smallSystem] for all tests of a class. */
internal fun sharedSmallSystem(): SharedFixture<TestSystem> = SharedFixture { startSystem { smallSystem() } }
