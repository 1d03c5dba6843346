package dev.jayturn.core.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Strangers that do not finish their messages lose before instances that deliver theirs. */
final class FrameBudgetTest {
    private final FrameBudget budget = new FrameBudget(100);
    private final List<String> closed = new ArrayList<>();

    private FrameBudget.Claim open(String name) {
        return budget.open(() -> closed.add(name));
    }

    @Test
    void closesTheStrangerThatHasWaitedLongest() {
        FrameBudget.Claim first = open("first");
        FrameBudget.Claim second = open("second");
        first.onReceived(40);
        second.onReceived(40);
        first.onReceived(50);
        open("third").onReceived(40);
        assertThat(closed).containsExactly("second");
    }

    @Test
    void closesStrangersBeforeSenders() {
        FrameBudget.Claim sender = open("sender");
        sender.onReceived(10);
        sender.onDelivered();
        sender.onReceived(60);
        open("stranger").onReceived(30);
        open("other").onReceived(30);
        assertThat(closed).containsExactly("stranger");
    }

    @Test
    void closesSendersWhenNoStrangerIsLeft() {
        FrameBudget.Claim first = open("first");
        first.onDelivered();
        first.onReceived(60);
        FrameBudget.Claim second = open("second");
        second.onDelivered();
        second.onReceived(60);
        assertThat(closed).containsExactly("first");
    }

    @Test
    void oneMessageMayBeLongerThanTheCapacity() {
        open("long").onReceived(1_000);
        assertThat(closed).isEmpty();
    }

    @Test
    void whatWasReleasedDoesNotCount() {
        FrameBudget.Claim first = open("first");
        first.onReceived(90);
        first.release();
        first.release();
        open("second").onReceived(90);
        assertThat(closed).isEmpty();
    }
}
