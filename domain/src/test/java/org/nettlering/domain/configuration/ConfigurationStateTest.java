package org.nettlering.domain.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.configuration.ConfigurationChange.PutProfile;
import org.nettlering.domain.configuration.ConfigurationChange.PutService;
import org.nettlering.domain.configuration.ConfigurationChange.SetPowerCap;
import org.nettlering.domain.configuration.ConfigurationOutcome.Accepted;
import org.nettlering.domain.configuration.ConfigurationOutcome.Refused;
import org.nettlering.domain.error.ErrorCode;

class ConfigurationStateTest {
    private final ConfigurationState state = ConfigurationState.create();

    @Test
    void onlyOneOperationIsAcceptedForAnExpectedRevision() {
        List<ConfigurationOutcome> outcomes = new ArrayList<>();
        for (int operator = 0; operator < 10; operator++) {
            outcomes.add(state.apply(operation("operator-" + operator, 0, operator)));
        }

        assertThat(outcomes).filteredOn(Accepted.class::isInstance).hasSize(1);
        assertThat(outcomes.getFirst()).isEqualTo(new Accepted(1));
        assertThat(state.current().powerCapMilliwatts()).isZero();
    }

    @Test
    void aResentOperationGetsItsFirstOutcome() {
        ConfigurationOutcome first = state.apply(operation("a", 0, 7));
        state.apply(operation("b", 1, 8));

        assertThat(state.apply(operation("a", 0, 7))).isEqualTo(first);
        assertThat(state.current().revision()).isEqualTo(2);
    }

    @Test
    void aResentOperationStaysRejectedAfterTheRevisionAdvanced() {
        ConfigurationOutcome rejection = state.apply(operation("early", 1, 7));
        state.apply(operation("first", 0, 8));

        assertThat(rejection).isInstanceOf(Refused.class);
        assertThat(state.apply(operation("early", 1, 7))).isEqualTo(rejection);
        assertThat(state.current().revision()).isEqualTo(1);
    }

    @Test
    void anOperationIdReusedWithOtherContentIsRejected() {
        state.apply(operation("a", 0, 7));

        ConfigurationOutcome outcome = state.apply(operation("a", 1, 9));

        assertThat(outcome)
                .isInstanceOfSatisfying(
                        Refused.class, rejected -> assertThat(rejected.code()).isEqualTo(ErrorCode.OPERATION_REUSED));
    }

    @Test
    void anAcceptedOperationIsNotReappliedAfterItsIdWasDiscarded() {
        state.apply(operation("old", 0, 7));
        for (int other = 0; other < ConfigurationState.REMEMBERED_OPERATIONS; other++) {
            state.apply(operation("other-" + other, other + 1, other));
        }

        ConfigurationOutcome outcome = state.apply(operation("old", 0, 7));

        assertThat(outcome)
                .isInstanceOfSatisfying(
                        Refused.class, rejected -> assertThat(rejected.code()).isEqualTo(ErrorCode.REVISION_CONFLICT));
    }

    @Test
    void differencesTransformAnEarlierRevisionIntoTheCurrentOne() {
        applyMany(5);

        SiteConfiguration replayed = SiteConfiguration.empty();
        for (RevisionRecord record : state.differencesSince(0).orElseThrow()) {
            replayed = replayed.plusChanges(record.changes());
        }

        assertThat(replayed).isEqualTo(state.current());
        assertThat(state.differencesSince(5)).hasValue(List.of());
    }

    @Test
    void differencesAreEmptyForDiscardedAndFutureRevisions() {
        applyMany(ConfigurationState.KEPT_REVISIONS + 3);

        assertThat(state.differencesSince(2)).isEmpty();
        assertThat(state.differencesSince(3)).isPresent();
        assertThat(state.differencesSince(ConfigurationState.KEPT_REVISIONS + 4))
                .isEmpty();
    }

    @Test
    void aRestoredStateRepeatsTheOutcomesOfResentOperations() {
        ConfigurationOutcome first = state.apply(operation("a", 0, 7));
        ConfigurationState restored = ConfigurationState.create();

        restored.restore(state.snapshot());

        assertThat(restored.apply(operation("a", 0, 7))).isEqualTo(first);
        assertThat(restored.current()).isEqualTo(state.current());
        assertThat(restored.record(1)).isPresent();
    }

    @Test
    void revisionsThatChangedAServiceAreFound() {
        state.apply(operation("cap", 0, 7));
        ServiceDefinition service = new ServiceDefinition("previews", "urgent", List.of(), Duration.ofSeconds(1), 1);
        Profile profile = new Profile("urgent", 90, Interruption.NEVER, 10);
        state.apply(new ConfigurationOperation(
                "put", "operator", 1, List.of(new PutProfile(profile), new PutService(service)), Instant.EPOCH, "d"));

        assertThat(state.recordsAboutService("previews")).extracting("revision").containsExactly(2L);
    }

    @Test
    void randomOperationsGetTheOutcomesOfTheModel() {
        for (long seed = 0; seed < 200; seed++) {
            assertSameAsModel(seed);
        }
    }

    private static void assertSameAsModel(long seed) {
        Random random = new Random(seed);
        ConfigurationState state = ConfigurationState.create();
        Map<String, ConfigurationOperation> modelFirstOperations = new HashMap<>();
        Map<String, Long> modelAcceptedRevisions = new HashMap<>();
        long modelRevision = 0;
        for (int step = 0; step < 100; step++) {
            String id = "operation-" + random.nextInt(30);
            ConfigurationOperation operation =
                    operation(id, Math.max(0, modelRevision - random.nextInt(2)), random.nextInt(2));
            ConfigurationOperation first = modelFirstOperations.putIfAbsent(id, operation);
            if (first == null && operation.expectedRevision() == modelRevision) {
                modelRevision++;
                modelAcceptedRevisions.put(id, modelRevision);
            }
            boolean sameContent = first == null || first.contentDigest().equals(operation.contentDigest());
            Long accepted = sameContent ? modelAcceptedRevisions.get(id) : null;

            ConfigurationOutcome outcome = state.apply(operation);

            assertThat(outcome instanceof Accepted(long revision) ? revision : null)
                    .as("seed %s, step %s", seed, step)
                    .isEqualTo(accepted);
            assertThat(state.current().revision()).isEqualTo(modelRevision);
        }
    }

    private void applyMany(int count) {
        for (int revision = 0; revision < count; revision++) {
            state.apply(operation("operation-" + revision, revision, revision));
        }
    }

    private static ConfigurationOperation operation(String id, long expectedRevision, long milliwatts) {
        return new ConfigurationOperation(
                id,
                "operator",
                expectedRevision,
                List.of(new SetPowerCap(milliwatts)),
                Instant.EPOCH,
                expectedRevision + "/" + milliwatts);
    }
}
