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

/** Claims by customer and key, oldest first; a settled claim is kept for the retention. */
final class ClaimTable {
    /** How long a settled claim is kept. */
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
        List<Claim> found = new ArrayList<>();
        for (Claim claim : claims.values()) {
            State state = claim.outcome().state();
            if (state == State.UNKNOWN || state == State.IN_PROGRESS) {
                found.add(claim);
            }
        }
        return found;
    }

    ControlOutcome claim(ClaimCall call, long version) {
        newestMillis = Math.max(newestMillis, call.atMillis());
        prune();
        Claim held = find(call.customer(), call.key());
        if (held == null) {
            return createClaim(call, version);
        }
        if (held.claimId().equals(call.claimId())) {
            boolean running = held.outcome().state() == State.IN_PROGRESS;
            ResultCode code = running ? ResultCode.OK : ResultCode.INTENT_CLOSED;
            return ControlOutcome.of(code, version);
        }
        if (held.outcome().state() == State.RELEASED) {
            claims.remove(held.id());
            return createClaim(call, version);
        }
        if (!held.fingerprint().equals(call.fingerprint())) {
            return ControlOutcome.of(ResultCode.KEY_REUSED, version);
        }
        if (held.outcome().state() == State.RESOLVED_NOT_RUN) {
            claims.remove(held.id());
            return createClaim(call, version);
        }
        return new ControlOutcome(refusalCode(held.outcome()), version, held.outcome());
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

    /** Returns whether a time-ordered key is older than what is still remembered. */
    private boolean isStale(String key) {
        try {
            UUID uuid = UUID.fromString(key);
            long millis = uuid.getMostSignificantBits() >>> 16;
            boolean timed = uuid.version() == TIME_ORDERED_UUID_VERSION;
            return timed && millis < newestMillis - RETENTION_MILLIS;
        } catch (IllegalArgumentException e) {
            return false;
        }
    }

    ControlOutcome record(RecordOutcome command, long version) {
        Claim held = find(command.customer(), command.key());
        if (held == null || !held.claimId().equals(command.claimId())) {
            return ControlOutcome.of(ResultCode.CLAIM_UNKNOWN, version);
        }
        if (held.outcome().state() == State.IN_PROGRESS
                || held.outcome().state() == State.UNKNOWN) {
            claims.put(held.id(), held.withOutcome(command.outcome()));
        }
        return ControlOutcome.of(ResultCode.OK, version);
    }

    /** Leaves a mark, so that the claim is refused if it arrives after its release. */
    ControlOutcome release(ReleaseClaim command, long version) {
        Claim held = find(command.customer(), command.key());
        if (held != null && !held.claimId().equals(command.claimId())) {
            return ControlOutcome.of(ResultCode.OK, version);
        }
        if (held == null || held.outcome().state() == State.IN_PROGRESS) {
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
        Claim held = find(command.customer(), command.key());
        if (held == null || !unresolved().contains(held)) {
            return ControlOutcome.of(ResultCode.CLAIM_UNKNOWN, version);
        }
        State state = command.ran() ? State.RESOLVED_RAN : State.RESOLVED_NOT_RUN;
        claims.put(held.id(), held.withOutcome(CallOutcome.withoutAnswer(state)));
        return ControlOutcome.of(ResultCode.OK, version);
    }

    private void prune() {
        Iterator<Claim> oldest = claims.values().iterator();
        while (oldest.hasNext()) {
            Claim claim = oldest.next();
            if (claim.atMillis() >= newestMillis - RETENTION_MILLIS) {
                return;
            }
            State state = claim.outcome().state();
            if (state != State.IN_PROGRESS && state != State.UNKNOWN) {
                oldest.remove();
            }
        }
    }
}
