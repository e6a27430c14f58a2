package org.nettlering.domain.workflow.placement;

import java.util.Arrays;
import java.util.List;
import java.util.function.IntConsumer;
import org.nettlering.domain.workflow.StepSpecification;
import org.nettlering.domain.workflow.StepTrait;

/**
 * The free capacities of the hosts of one pool, indexed by free processors and memory.
 *
 * <p>Finds the hosts with room for a task in time proportional to their number, up to a logarithmic factor, however many
 * hosts are full. Each change of a free capacity must be followed by {@link #refresh}. Not thread-safe.
 */
final class PoolCapacities {
    private static final int ROOT = 1;

    private final List<FreeCapacity> capacities;

    /** The number of leaves of the tree, a power of two; node n has the children 2n and 2n + 1. */
    private final int leafCount;

    /** The most unallocated processors of a host below each node. */
    private final long[] freeMillicores;

    /** The most unallocated memory of a host below each node. */
    private final long[] freeMebibytes;

    /** The most processors that a host below each node has idle for best-effort tasks. */
    private final long[] idleMillicores;

    static PoolCapacities of(List<FreeCapacity> capacities) {
        return new PoolCapacities(capacities);
    }

    private PoolCapacities(List<FreeCapacity> capacities) {
        this.capacities = List.copyOf(capacities);
        leafCount = Math.max(1, Integer.highestOneBit(Math.max(1, 2 * capacities.size() - 1)));
        freeMillicores = newNodes();
        freeMebibytes = newNodes();
        idleMillicores = newNodes();
        for (int position = 0; position < capacities.size(); position++) {
            setLeaf(position);
        }
        for (int node = leafCount - 1; node >= ROOT; node--) {
            combineChildren(node);
        }
    }

    private long[] newNodes() {
        long[] nodes = new long[2 * leafCount];
        Arrays.fill(nodes, Long.MIN_VALUE);
        return nodes;
    }

    private void setLeaf(int position) {
        FreeCapacity capacity = capacities.get(position);
        int node = leafCount + position;
        freeMillicores[node] = capacity.free().millicores();
        freeMebibytes[node] = capacity.free().memoryMebibytes();
        idleMillicores[node] = capacity.idleMillicores();
    }

    private void combineChildren(int node) {
        int left = 2 * node;
        int right = left + 1;
        freeMillicores[node] = Math.max(freeMillicores[left], freeMillicores[right]);
        freeMebibytes[node] = Math.max(freeMebibytes[left], freeMebibytes[right]);
        idleMillicores[node] = Math.max(idleMillicores[left], idleMillicores[right]);
    }

    List<FreeCapacity> all() {
        return capacities;
    }

    /** Updates the index after the free capacity at a position has changed. */
    void refresh(int position) {
        setLeaf(position);
        for (int node = (leafCount + position) / 2; node >= ROOT; node /= 2) {
            combineChildren(node);
        }
    }

    /** Passes on, in ascending order, the positions of the hosts with idle processors and memory for one task of a step. */
    void forEachWithRoom(StepSpecification step, IntConsumer positions) {
        visit(ROOT, Requirement.of(step), positions);
    }

    /** Passes on, in ascending order, the positions of the hosts on which what a task of a step is allocated is free. */
    void forEachWithAllocation(StepSpecification step, IntConsumer positions) {
        visit(ROOT, Requirement.ofAllocation(step), positions);
    }

    private void visit(int node, Requirement requirement, IntConsumer positions) {
        if (freeMillicores[node] < requirement.freeMillicores()
                || freeMebibytes[node] < requirement.freeMebibytes()
                || idleMillicores[node] < requirement.idleMillicores()) {
            return;
        }
        if (node < leafCount) {
            visit(2 * node, requirement, positions);
            visit(2 * node + 1, requirement, positions);
        } else if (node - leafCount < capacities.size()) {
            positions.accept(node - leafCount);
        }
    }

    /** What a host needs at least for a task; only best-effort tasks ask for idle processors. */
    private record Requirement(long freeMillicores, long freeMebibytes, long idleMillicores) {
        static Requirement of(StepSpecification step) {
            long idleMillicores =
                    step.has(StepTrait.BEST_EFFORT) ? step.demand().millicores() : Long.MIN_VALUE;
            return new Requirement(
                    step.allocation().millicores(), step.allocation().memoryMebibytes(), idleMillicores);
        }

        static Requirement ofAllocation(StepSpecification step) {
            return new Requirement(
                    step.allocation().millicores(), step.allocation().memoryMebibytes(), Long.MIN_VALUE);
        }
    }
}
