package dev.jayturn.core.control;

import dev.jayturn.core.control.CallOutcome.State;
import dev.jayturn.core.result.ResultCode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import org.jspecify.annotations.Nullable;

/** Claims by customer and key, oldest first; a claim with a known outcome expires. */
final class ClaimTable {
    /**
     * How long a claim with a known outcome is kept. Measured from the newest claim in the log and
     * not by a clock, so that all replicas remove the same claims.
     */
    static final long RETENTION_MILLIS = 24L * 3_600_000;

    private static final int TIME_ORDERED_UUID_VERSION = 7;

    private final Map<String, Claim> claims = new LinkedHashMap<>();
    private long newestMillis;

    void put(Claim claim) {
        claims.put(claim.id(), claim);
        newestMillis = Math.max(newestMillis, claim.atMillis());
    }

    Collection<Claim> all() {
        return claims.values();
    }

    void clear() {
        claims.clear();
        newestMillis = 0;
    }

    @Nullable Claim find(String customer, String key) {
        return claims.get(customer + "/" + key);
    }

    List<Claim> unresolved() {
        List<Claim> unresolved = new ArrayList<>();
        for (Claim claim : claims.values()) {
            State state = claim.outcome().state();
            if (state == State.UNKNOWN || state == State.IN_PROGRESS) {
                unresolved.add(claim);
            }
        }
        return unresolved;
    }

    ControlOutcome claim(ClaimCall call, long version) {
        newestMillis = Math.max(newestMillis, call.atMillis());
        prune();
        Claim existing = find(call.customer(), call.key());
        if (existing == null) {
            return createClaim(call, version);
        }
        if (existing.claimId().equals(call.claimId())) {
            boolean inProgress = existing.outcome().state() == State.IN_PROGRESS;
            ResultCode code = inProgress ? ResultCode.OK : ResultCode.INTENT_CLOSED;
            return ControlOutcome.of(code, version);
        }
        // The key of a released claim can be reused, also for a different request.
        if (existing.outcome().state() == State.RELEASED) {
            claims.remove(existing.id());
            return createClaim(call, version);
        }
        if (!existing.fingerprint().equals(call.fingerprint())) {
            return ControlOutcome.of(ResultCode.KEY_REUSED, version);
        }
        // Only the same request can be claimed again after an operator resolved it as not run.
        if (existing.outcome().state() == State.RESOLVED_NOT_RUN) {
            claims.remove(existing.id());
            return createClaim(call, version);
        }
        return new ControlOutcome(refusalCode(existing.outcome()), version, existing.outcome());
    }

    private ControlOutcome createClaim(ClaimCall call, long version) {
        if (isStale(call.key())) {
            return ControlOutcome.of(ResultCode.KEY_STALE, version);
        }
        put(
                new Claim(
                        call.customer(),
                        call.key(),
                        call.claimId(),
                        call.fingerprint(),
                        call.service(),
                        call.atMillis(),
                        CallOutcome.IN_PROGRESS));
        return ControlOutcome.of(ResultCode.OK, version);
    }

    private static ResultCode refusalCode(CallOutcome outcome) {
        switch (outcome.state()) {
            case IN_PROGRESS:
                return ResultCode.CLAIM_IN_PROGRESS;
            case RAN:
                return outcome.bodyKept()
                        ? ResultCode.OUTCOME_RECORDED
                        : ResultCode.OUTCOME_NOT_KEPT;
            case RESOLVED_RAN:
                return ResultCode.OUTCOME_NOT_KEPT;
            default:
                return ResultCode.OUTCOME_UNKNOWN;
        }
    }

    /**
     * Returns whether a key is a time-ordered UUID that is older than the retention of claims. An
     * earlier claim of such a key may have expired, so a repeat could no longer be detected.
     */
    private boolean isStale(String key) {
        try {
            UUID uuid = UUID.fromString(key);
            long millis = uuid.getMostSignificantBits() >>> 16;
            boolean timeOrdered = uuid.version() == TIME_ORDERED_UUID_VERSION;
            return timeOrdered && millis < newestMillis - RETENTION_MILLIS;
        } catch (IllegalArgumentException e) {
            return false;
        }
    }

    ControlOutcome record(RecordOutcome command, long version) {
        Claim existing = find(command.customer(), command.key());
        if (existing == null || !existing.claimId().equals(command.claimId())) {
            return ControlOutcome.of(ResultCode.CLAIM_UNKNOWN, version);
        }
        if (existing.outcome().state() == State.IN_PROGRESS
                || existing.outcome().state() == State.UNKNOWN) {
            claims.put(existing.id(), existing.withOutcome(command.outcome()));
        }
        return ControlOutcome.of(ResultCode.OK, version);
    }

    /** Records the release, so that a claim which arrives after its release is refused. */
    ControlOutcome release(ReleaseClaim command, long version) {
        Claim existing = find(command.customer(), command.key());
        if (existing != null && !existing.claimId().equals(command.claimId())) {
            return ControlOutcome.of(ResultCode.OK, version);
        }
        if (existing == null || existing.outcome().state() == State.IN_PROGRESS) {
            put(
                    new Claim(
                            command.customer(),
                            command.key(),
                            command.claimId(),
                            "",
                            "",
                            newestMillis,
                            CallOutcome.withoutAnswer(State.RELEASED)));
        }
        return ControlOutcome.of(ResultCode.OK, version);
    }

    ControlOutcome resolve(ResolveClaim command, long version) {
        Claim existing = find(command.customer(), command.key());
        if (existing == null || !unresolved().contains(existing)) {
            return ControlOutcome.of(ResultCode.CLAIM_UNKNOWN, version);
        }
        State state = command.ran() ? State.RESOLVED_RAN : State.RESOLVED_NOT_RUN;
        claims.put(existing.id(), existing.withOutcome(CallOutcome.withoutAnswer(state)));
        return ControlOutcome.of(ResultCode.OK, version);
    }

    private void prune() {
        Iterator<Claim> oldestFirst = claims.values().iterator();
        while (oldestFirst.hasNext()) {
            Claim claim = oldestFirst.next();
            if (claim.atMillis() >= newestMillis - RETENTION_MILLIS) {
                return;
            }
            State state = claim.outcome().state();
            if (state != State.IN_PROGRESS && state != State.UNKNOWN) {
                oldestFirst.remove();
            }
        }
    }
}
