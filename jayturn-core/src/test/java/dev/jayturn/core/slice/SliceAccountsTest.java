package dev.jayturn.core.slice;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

final class SliceAccountsTest {
    private final SliceAccounts accounts = new SliceAccounts();

    private void grant(long issued, long mark, long recall) {
        accounts.applyGrant(new SliceGrant("roy", issued, mark, issued, recall), 0);
    }

    @Test
    void drawingIsLimitedToTheMarkWhileALeaseRuns() {
        grant(1_000, 300, 0);
        assertThat(accounts.canReserve("roy", 301)).isFalse();
        accounts.setLimitedToMarks(false);
        assertThat(accounts.canReserve("roy", 1_000)).isTrue();
    }

    @Test
    void tokensTransferredToAnotherHolderCountAsDrawn() {
        grant(1_000, 300, 0);
        assertThat(accounts.transferOnRequest("roy", 200, false, "other")).isEqualTo(200);
        assertThat(accounts.canReserve("roy", 101)).isFalse();
    }

    @Test
    void repeatedTransferMessageIsCreditedOnce() {
        grant(0, 0, 0);
        accounts.receiveTransfer("other", "roy", 200);
        accounts.receiveTransfer("other", "roy", 200);
        accounts.receiveTransfer("other", "roy", 150);
        assertThat(accounts.canReserve("roy", 200)).isTrue();
        assertThat(accounts.canReserve("roy", 201)).isFalse();
    }

    @Test
    void onlyFreeTokensIssuedToThisHolderAreReturned() {
        grant(100, 1_000, 0);
        accounts.receiveTransfer("other", "roy", 500);
        accounts.returnAllFree();
        assertThat(accounts.canReserve("roy", 500)).isTrue();
        assertThat(accounts.canReserve("roy", 501)).isFalse();
    }

    @Test
    void settlingAReservationOfAnEarlierIncarnationHasNoEffect() {
        grant(1_000, 1_000, 0);
        SliceAccounts.Reservation reservation = accounts.reserve("roy", 400);
        accounts.startNewIncarnation();
        grant(1_000, 1_000, 0);
        accounts.settle(reservation, 0);
        assertThat(accounts.canReserve("roy", 1_000)).isTrue();
        assertThat(accounts.canReserve("roy", 1_001)).isFalse();
    }
}
