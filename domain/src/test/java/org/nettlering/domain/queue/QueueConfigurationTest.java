package org.nettlering.domain.queue;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.error.NettleringException;

class QueueConfigurationTest {
    private static final QueueTerms TERMS = new QueueTerms(0, 1, 1, 0, false);

    @Test
    void theLongestMatchingPrefixSelectsTheQueue() {
        QueueConfiguration configuration =
                configuration(queue("a", "/x/", "pool", 1_000), queue("b", "/x/y/", "pool", 1_000));
        assertThat(configuration.queueFor("SITE.example", "/x/y/1")).get().returns("b", QueueSettings::name);
        assertThat(configuration.queueFor("site.example", "/x/1")).get().returns("a", QueueSettings::name);
        assertThat(configuration.queueFor("site.example", "/z/1")).isEmpty();
        assertThat(configuration.queueFor("other.example", "/x/1")).isEmpty();
    }

    @Test
    void aQueueWithAnUnknownPoolIsRejected() {
        assertInvalid("unknown pool", queue("a", "/x/", "nowhere", 1_000));
    }

    @Test
    void queuesWithTheSameAuthorityAndPrefixAreRejected() {
        assertInvalid(
                "the same authority and path prefix",
                queue("a", "/x/", "pool", 1_000),
                queue("b", "/x/", "pool", 1_000));
    }

    @Test
    void aQueueWithoutATimeoutIsRejected() {
        assertInvalid("positive timeout", queue("a", "/x/", "pool", 0));
    }

    @Test
    void duplicateQueueNamesAreRejected() {
        assertInvalid("defined twice", queue("a", "/x/", "pool", 1_000), queue("a", "/y/", "pool", 1_000));
    }

    private static void assertInvalid(String expectedMessage, QueueSettings... queues) {
        assertThatThrownBy(() -> configuration(queues))
                .isInstanceOf(NettleringException.class)
                .hasMessageContaining(expectedMessage);
    }

    private static QueueConfiguration configuration(QueueSettings... queues) {
        return QueueConfiguration.of(
                3, List.of(queues), List.of(new PoolSettings("pool", false, false)), RequestLimits.DEFAULT, "{}");
    }

    private static QueueSettings queue(String name, String prefix, String pool, long timeoutMillis) {
        return new QueueSettings(name, "site.example", prefix, pool, timeoutMillis, TERMS);
    }
}
