package org.nettlering.benchmarks.consensus;

import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.nettlering.consensus.ConsensusExecutors;
import org.nettlering.consensus.ConsensusMessage;
import org.nettlering.consensus.ConsensusNode;
import org.nettlering.consensus.ConsensusPorts;
import org.nettlering.consensus.ConsensusSettings;
import org.nettlering.consensus.Member;
import org.nettlering.consensus.MemberId;
import org.nettlering.consensus.ReplicatedStateMachine;
import org.nettlering.consensus.storage.DiskFolder;
import org.nettlering.consensus.storage.FileLogStorage;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.domain.time.SystemTime;
import org.nettlering.wire.codec.ConsensusMessageCodec;

/** A group of members in this process, each with a folder of the real disk; its messages are counted. Thread-safe. */
final class MeasuredGroup implements AutoCloseable {
    private static final long POLL_NANOS = 200_000;
    private static final long WAIT_LIMIT_SECONDS = 60;

    private final Path folder;
    private final ConsensusSettings settings;
    private final List<Member> members = new ArrayList<>();
    private final SystemTime time = SystemTime.create("bench-timers");
    private final Map<MemberId, ConsensusNode> nodes = new ConcurrentHashMap<>();
    private final Map<MemberId, ExecutorService> receivers = new TreeMap<>();
    private final AtomicLong messages = new AtomicLong();
    private final AtomicLong bytes = new AtomicLong();

    MeasuredGroup(Path folder, int size, ConsensusSettings settings) {
        this.folder = folder;
        this.settings = settings;
        for (int number = 1; number <= size; number++) {
            MemberId id = MemberId.of("control-" + number);
            members.add(Member.learner(id, "127.0.0.1:" + number, "domain-" + number));
            receivers.put(
                    id,
                    Executors.newSingleThreadExecutor(
                            Thread.ofPlatform().daemon(true).factory()));
        }
    }

    void startAll() {
        members.forEach(member -> start(member.id()));
    }

    ConsensusNode start(MemberId id) {
        ConsensusPorts ports = new ConsensusPorts(
                time,
                FileLogStorage.open(DiskFolder.open(folder.resolve(id.value())), id),
                (to, message) -> send(id, to, message),
                new Counter(),
                happening -> {},
                ConsensusExecutors.create(id),
                new Random());
        ConsensusNode node = ConsensusNode.create(id, members, settings, ports);
        node.start();
        nodes.put(id, node);
        return node;
    }

    private void send(MemberId from, MemberId to, ConsensusMessage message) {
        messages.incrementAndGet();
        bytes.addAndGet(ConsensusMessageCodec.encode(from, to, message).getSerializedSize());
        ExecutorService receiver = receivers.get(to);
        if (receiver != null) {
            receiver.execute(() -> {
                ConsensusNode node = nodes.get(to);
                if (node != null) {
                    node.receive(from, message);
                }
            });
        }
    }

    long messages() {
        return messages.get();
    }

    long bytes() {
        return bytes.get();
    }

    int size() {
        return members.size();
    }

    ConsensusNode awaitLeader() {
        long limit = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_LIMIT_SECONDS);
        while (System.nanoTime() - limit < 0) {
            Optional<ConsensusNode> leader =
                    nodes.values().stream().filter(ConsensusNode::isReadyLeader).findFirst();
            if (leader.isPresent()) {
                return leader.get();
            }
            LockSupport.parkNanos(POLL_NANOS);
        }
        throw new NettleringException(ErrorCode.NO_LEADER, "no member led within " + WAIT_LIMIT_SECONDS + " s");
    }

    /** Ends the leader without handing the leadership over. */
    void endLeader() {
        ConsensusNode leader = awaitLeader();
        nodes.values().remove(leader);
        leader.close();
    }

    @Override
    public void close() {
        nodes.values().forEach(ConsensusNode::close);
        receivers.values().forEach(ExecutorService::shutdown);
        time.close();
    }

    /** Counts the commands. */
    private static final class Counter implements ReplicatedStateMachine {
        private long count;

        @Override
        public byte[] apply(long index, byte[] command) {
            count++;
            return encode(count);
        }

        @Override
        public CapturedState capture() {
            long captured = count;
            return () -> encode(captured);
        }

        @Override
        public void restore(byte[] encodedState) {
            count = ByteBuffer.wrap(encodedState).getLong();
        }

        private static byte[] encode(long value) {
            return ByteBuffer.allocate(Long.BYTES).putLong(value).array();
        }
    }
}
