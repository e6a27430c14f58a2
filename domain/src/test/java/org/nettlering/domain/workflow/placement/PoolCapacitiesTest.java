package org.nettlering.domain.workflow.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.workflow.HostAllocations;
import org.nettlering.domain.workflow.HostIncarnation;
import org.nettlering.domain.workflow.PlacementConstraints;
import org.nettlering.domain.workflow.StepId;
import org.nettlering.domain.workflow.StepServiceLevel;
import org.nettlering.domain.workflow.StepSpecification;
import org.nettlering.domain.workflow.StepTrait;
import org.nettlering.domain.workflow.host.HostHeartbeat;

/** Compares {@link PoolCapacities} with a check of every host. */
class PoolCapacitiesTest {
    private static final StepId STEP = new StepId("job", 0, 0);

    @Test
    void findsExactlyTheHostsWithRoomWhileCapacityIsAllocatedAndReleased() {
        for (int seed = 0; seed < 100; seed++) {
            Random random = new Random(seed);
            List<FreeCapacity> hosts = randomHosts(random, random.nextInt(70));
            PoolCapacities pool = PoolCapacities.of(hosts);
            for (int change = 0; change < 60 && !hosts.isEmpty(); change++) {
                StepSpecification step = randomStep(random);
                int position = random.nextInt(hosts.size());
                FreeCapacity host = hosts.get(position);
                if (host.fits(STEP, step)) {
                    host.allocate(STEP, step);
                } else {
                    host.release(STEP, step);
                }
                pool.refresh(position);
                StepSpecification wanted = randomStep(random);
                assertThat(positions(pool, wanted)).as("seed %d", seed).isEqualTo(positionsThatFit(hosts, wanted));
            }
        }
    }

    @Test
    void aPoolWithoutHostsHasNoRoom() {
        assertThat(positions(PoolCapacities.of(List.of()), randomStep(new Random(1))))
                .isEmpty();
    }

    private static List<Integer> positions(PoolCapacities pool, StepSpecification step) {
        List<Integer> positions = new ArrayList<>();
        pool.forEachWithRoom(step, positions::add);
        return positions;
    }

    private static List<Integer> positionsThatFit(List<FreeCapacity> hosts, StepSpecification step) {
        List<Integer> positions = new ArrayList<>();
        for (int position = 0; position < hosts.size(); position++) {
            if (hosts.get(position).fits(STEP, step)) {
                positions.add(position);
            }
        }
        return positions;
    }

    private static List<FreeCapacity> randomHosts(Random random, int count) {
        List<FreeCapacity> hosts = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            HostIncarnation host = new HostIncarnation("host-" + number, "10.0.0." + number + ":80");
            Resources capacity = Resources.of(random.nextInt(32_000), random.nextInt(128_000), 0);
            HostHeartbeat heartbeat = new HostHeartbeat(host, "pool", "fd", capacity, "a", "r", false, 0, 1);
            hosts.add(FreeCapacity.of(heartbeat, HostAllocations.empty(host), 0, List.of(), StartAdmission.ALL));
        }
        return hosts;
    }

    private static StepSpecification randomStep(Random random) {
        Resources demand = Resources.of(random.nextInt(30_000), random.nextInt(100_000), 0);
        Set<StepTrait> traits = random.nextBoolean() ? Set.of(StepTrait.BEST_EFFORT) : Set.of();
        return new StepSpecification(
                1, demand, 1_000, List.of(), traits, PlacementConstraints.NONE, StepServiceLevel.UNSPECIFIED);
    }
}
