package dev.jayturn.core.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import dev.jayturn.core.journal.JournalRecord;
import dev.jayturn.core.transport.Message;
import dev.jayturn.core.virtual.SeededRandom;
import dev.jayturn.core.virtual.VirtualDisk;
import dev.jayturn.core.virtual.VirtualNetwork;
import dev.jayturn.core.virtual.VirtualProcess;
import dev.jayturn.core.virtual.VirtualTime;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** A leader sends a snapshot of several chunks to a learner, which this test plays. */
final class SnapshotTransferTest implements StateMachine {
    private static final int SNAPSHOT_INTERVAL_ENTRIES = 10;
    private static final long HEARTBEAT_INTERVAL_MILLIS = 100;
    private static final int LARGE_SNAPSHOT_ITEMS = 2_500;
    private static final String LEARNER = "learner#store";

    private final VirtualTime time = new VirtualTime();
    private final VirtualNetwork network = new VirtualNetwork(time, new Random(1));
    private final VirtualProcess process = new VirtualProcess("leader", time, network);
    private final List<Message> sentToLearner = new ArrayList<>();
    private int snapshotItems = LARGE_SNAPSHOT_ITEMS;
    private final RaftNode leader;

    private record Item(int number) implements JournalRecord {}

    SnapshotTransferTest() {
        new VirtualProcess("learner", time, network)
                .onMessage((to, message) -> sentToLearner.add(message));
        leader =
                new RaftNode(
                        new RaftConfig(
                                "leader#store",
                                List.of("leader"),
                                List.of("leader#store"),
                                500,
                                HEARTBEAT_INTERVAL_MILLIS,
                                SNAPSHOT_INTERVAL_ENTRIES),
                        List.of(),
                        new VirtualDisk(time).openJournal(process),
                        process,
                        process,
                        new SeededRandom(new Random(1)),
                        this);
        process.onMessage((to, message) -> leader.handle(message));
    }

    @Override
    public Object apply(long index, Command command) {
        return index;
    }

    @Override
    public List<JournalRecord> snapshot() {
        return new ArrayList<>(Collections.nCopies(snapshotItems, new Item(1)));
    }

    @Override
    public void restore(List<JournalRecord> items) {}

    private void compact() {
        for (int i = 0; i < SNAPSHOT_INTERVAL_ENTRIES; i++) {
            leader.propose(
                    new NoOp(),
                    new ProposalCallback() {
                        @Override
                        public void onApplied(Object outcome) {}

                        @Override
                        public void onLeadershipLost() {
                            throw new AssertionError("the only voter leads");
                        }
                    });
        }
        time.runFor(20);
    }

    private <T extends Message> T lastSent(Class<T> type) {
        time.runFor(20);
        List<T> sent = sentToLearner.stream().filter(type::isInstance).map(type::cast).toList();
        return sent.get(sent.size() - 1);
    }

    private void reply(InstallChunk chunk, int nextOffset) {
        process.receive(
                "leader#store",
                new InstallReply(
                        LEARNER, "leader#store", chunk.term(), chunk.start().index(), nextOffset));
    }

    private InstallChunk firstChunk() {
        time.runFor(1_000);
        compact();
        process.receive("leader#store", new JoinRequest(LEARNER));
        time.runFor(2 * HEARTBEAT_INTERVAL_MILLIS);
        return lastSent(InstallChunk.class);
    }

    private boolean learnerVotes() {
        return leader.members().contains(new Member(LEARNER, true));
    }

    @Test
    void partOfASnapshotIsNotCountedAsAWholeAfterASmallerOneReplacedIt() {
        InstallChunk first = firstChunk();
        assertThat(first.offset()).isZero();
        reply(first, first.items().size());
        InstallChunk second = lastSent(InstallChunk.class);
        assertThat(second.offset()).isEqualTo(first.items().size());
        snapshotItems = 5;
        compact();
        reply(second, second.offset() + second.items().size());
        time.runFor(200);
        assertThat(learnerVotes()).isFalse();
        InstallChunk restarted = lastSent(InstallChunk.class);
        assertThat(restarted.start().index()).isGreaterThan(first.start().index());
        assertThat(restarted.offset()).isZero();
        assertThat(restarted.last()).isTrue();
    }

    @Test
    void learnerWithTheWholeSnapshotBecomesAVoter() {
        InstallChunk chunk = firstChunk();
        while (!chunk.last()) {
            reply(chunk, chunk.offset() + chunk.items().size());
            chunk = lastSent(InstallChunk.class);
        }
        reply(chunk, LARGE_SNAPSHOT_ITEMS + 1);
        time.runFor(200);
        assertThat(learnerVotes()).isTrue();
    }
}
