package dev.jayturn.daemon.fleet;

import com.fasterxml.jackson.core.JsonGenerator;
import dev.jayturn.core.consensus.Member;
import dev.jayturn.core.fleet.QuorumListener;
import dev.jayturn.daemon.eventlog.EventLog;
import java.io.IOException;
import java.util.List;

/** Logs who leads the control log and who are its members. */
final class QuorumLog implements QuorumListener {
    private final EventLog log;

    QuorumLog(EventLog log) {
        this.log = log;
    }

    @Override
    public void onLeader(String leader, long term) {
        log.event(
                leader.isEmpty() ? "control.leader.lost" : "control.leader.known",
                json -> {
                    json.writeStringField("leader", leader);
                    json.writeNumberField("term", term);
                });
    }

    @Override
    public void onMembers(List<Member> members) {
        log.event(
                "control.members.changed",
                json -> {
                    writeIds(json, "voters", members, true);
                    writeIds(json, "learners", members, false);
                });
    }

    private static void writeIds(
            JsonGenerator json, String field, List<Member> members, boolean voters)
            throws IOException {
        json.writeArrayFieldStart(field);
        for (Member member : members) {
            if (member.voter() == voters) {
                json.writeString(member.id());
            }
        }
        json.writeEndArray();
    }
}
