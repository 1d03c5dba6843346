package dev.jayturn.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import dev.jayturn.core.consensus.AppendReply;
import dev.jayturn.core.consensus.AppendRequest;
import dev.jayturn.core.consensus.LogEntry;
import dev.jayturn.core.consensus.Member;
import dev.jayturn.core.consensus.MemberChange;
import dev.jayturn.core.consensus.SnapshotItem;
import dev.jayturn.core.control.CallOutcome;
import dev.jayturn.core.control.ControlAnswer;
import dev.jayturn.core.control.ControlOutcome;
import dev.jayturn.core.control.Credit;
import dev.jayturn.core.control.CreditShare;
import dev.jayturn.core.directory.Heartbeat;
import dev.jayturn.core.directory.UpstreamState;
import dev.jayturn.core.evacuation.EvacuationAnswer;
import dev.jayturn.core.evacuation.EvacuationCall;
import dev.jayturn.core.evacuation.EvacuationOrder;
import dev.jayturn.core.evacuation.EvacuationStored;
import dev.jayturn.core.fleet.ConfigurationAnswer;
import dev.jayturn.core.fleet.FleetUpdate;
import dev.jayturn.core.fleet.HeartbeatShare;
import dev.jayturn.core.result.ResultCode;
import dev.jayturn.core.resumption.OriginAnswer;
import dev.jayturn.core.resumption.OriginQuery;
import dev.jayturn.core.resumption.OriginRecord;
import dev.jayturn.core.resumption.OriginShare;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

final class MessageCodecTest {
    @Test
    void messageWithNestedCommandsRoundTrips() throws IOException {
        Credit credit =
                new Credit("c1", "b", 10, List.of(new CreditShare("kokura-1#a", 10)), "ops", 5);
        MemberChange change = new MemberChange(List.of(new Member("kokura-1#a", true)));
        AppendRequest request =
                new AppendRequest(
                        "a",
                        "b",
                        3,
                        1,
                        1,
                        List.of(new LogEntry(2, 3, credit), new LogEntry(3, 3, change)),
                        1,
                        9);
        assertThat(MessageCodec.decodeMessage(MessageCodec.encode(request))).isEqualTo(request);
    }

    @Test
    void controlAnswerWithCallOutcomeRoundTrips() throws IOException {
        CallOutcome call = new CallOutcome(CallOutcome.State.RAN, 201, "text/plain", "é", true);
        ControlAnswer answer =
                new ControlAnswer("r", new ControlOutcome(ResultCode.OUTCOME_RECORDED, 4, call));
        assertThat(MessageCodec.decodeMessage(MessageCodec.encode(answer))).isEqualTo(answer);
    }

    @Test
    void originsOfStreamsRoundTrip() throws IOException {
        OriginRecord origin = new OriginRecord(Long.MIN_VALUE, "s", "v1", 15_000);
        OriginShare share = new OriginShare(List.of(origin));
        assertThat(MessageCodec.decodeMessage(MessageCodec.encode(share))).isEqualTo(share);
        OriginAnswer answer = new OriginAnswer("a", List.of(origin), List.of(7L));
        assertThat(MessageCodec.decodeMessage(MessageCodec.encode(answer))).isEqualTo(answer);
        OriginQuery query = new OriginQuery("a", List.of(7L, Long.MAX_VALUE));
        assertThat(MessageCodec.decodeMessage(MessageCodec.encode(query))).isEqualTo(query);
    }

    @Test
    void bytesAfterARecordAreIgnored() throws IOException {
        LogEntry entry = new LogEntry(2, 3, new MemberChange(List.of()));
        byte[] bytes = MessageCodec.encode(entry);
        byte[] longer = Arrays.copyOf(bytes, bytes.length + 16);
        Arrays.fill(longer, bytes.length, longer.length, (byte) 0x5A);
        assertThat(MessageCodec.decodeRecord(longer)).isEqualTo(entry);
    }

    @Test
    void journalRecordRoundTrips() throws IOException {
        LogEntry entry = new LogEntry(7, 2, new MemberChange(List.of()));
        assertThat(MessageCodec.decodeRecord(MessageCodec.encode(entry))).isEqualTo(entry);
    }

    @Test
    void bytesThatAreNotAMessageAreRejected() {
        assertThatThrownBy(() -> MessageCodec.decodeMessage(new byte[] {1, 2, 3}))
                .isInstanceOf(IOException.class);
    }

    private record FutureMessage(@JsonProperty("@") String type, int value) {}

    @Test
    void messageOfAnUnknownTypeIsRejectedWithItsName() throws IOException {
        byte[] bytes = new CBORMapper().writeValueAsBytes(new FutureMessage("Invitation", 3));
        assertThatThrownBy(() -> MessageCodec.decodeMessage(bytes))
                .isInstanceOfSatisfying(
                        UnknownTypeException.class,
                        e -> assertThat(e.typeName()).isEqualTo("Invitation"));
    }

    private record OlderAnswer(
            @JsonProperty("@") String type, long id, boolean sure, long version, byte[] document) {}

    @Test
    void answerOfAnOlderInstanceNamesNoSender() throws IOException {
        byte[] bytes =
                new CBORMapper()
                        .writeValueAsBytes(
                                new OlderAnswer("ConfigurationAnswer", 3, true, 9, new byte[] {1}));
        assertThat(MessageCodec.decodeMessage(bytes))
                .isInstanceOfSatisfying(
                        ConfigurationAnswer.class,
                        answer -> {
                            assertThat(answer.version()).isEqualTo(9);
                            assertThat(answer.from()).isEmpty();
                        });
    }

    /** As instances write heartbeats that do not know the last component yet. */
    private record OlderHeartbeat(
            String id,
            String service,
            String address,
            String dataCentre,
            int slots,
            UpstreamState state,
            long incarnation,
            long sequence) {}

    private record OlderShare(@JsonProperty("@") String type, List<OlderHeartbeat> heartbeats) {}

    @Test
    void heartbeatOfAnOlderInstanceHasNoSoftwareVersion() throws IOException {
        ObjectMapper mapper = new CBORMapper();
        mapper.configOverride(OlderHeartbeat.class)
                .setFormat(JsonFormat.Value.forShape(JsonFormat.Shape.ARRAY));
        OlderHeartbeat older =
                new OlderHeartbeat("u", "s", "10.0.0.1:80", "a", 4, UpstreamState.READY, 7, 2);
        byte[] bytes = mapper.writeValueAsBytes(new OlderShare("HeartbeatShare", List.of(older)));
        assertThat(MessageCodec.decodeMessage(bytes))
                .isEqualTo(
                        new HeartbeatShare(
                                List.of(
                                        new Heartbeat(
                                                "u",
                                                "s",
                                                "10.0.0.1:80",
                                                "a",
                                                4,
                                                UpstreamState.READY,
                                                7,
                                                2,
                                                ""))));
    }

    @Test
    void ordersAboutDataCentresRoundTrip() throws IOException {
        LogEntry entry = new LogEntry(7, 2, new EvacuationOrder("kokura-1", true, 5));
        assertThat(MessageCodec.decodeRecord(MessageCodec.encode(entry))).isEqualTo(entry);
        SnapshotItem stored = new SnapshotItem(new EvacuationStored(7, List.of("kokura-1")));
        assertThat(MessageCodec.decodeRecord(MessageCodec.encode(stored))).isEqualTo(stored);
        EvacuationCall call = new EvacuationCall("a", 9, "kokura-1", false, 7);
        assertThat(MessageCodec.decodeMessage(MessageCodec.encode(call))).isEqualTo(call);
        EvacuationAnswer answer = new EvacuationAnswer(9, true, false, 8, "b");
        assertThat(MessageCodec.decodeMessage(MessageCodec.encode(answer))).isEqualTo(answer);
    }

    private record OlderUpdate(@JsonProperty("@") String type, String from, String holder) {}

    private record OlderReply(@JsonProperty("@") String type, String from, boolean success) {}

    @Test
    void olderInstancesSayNothingOfEmptiedDataCentres() throws IOException {
        ObjectMapper mapper = new CBORMapper();
        byte[] update = mapper.writeValueAsBytes(new OlderUpdate("FleetUpdate", "a", "b"));
        assertThat(MessageCodec.decodeMessage(update))
                .isInstanceOfSatisfying(FleetUpdate.class, u -> assertThat(u.emptied()).isNull());
        byte[] reply = mapper.writeValueAsBytes(new OlderReply("AppendReply", "a", true));
        assertThat(MessageCodec.decodeMessage(reply))
                .isInstanceOfSatisfying(
                        AppendReply.class, r -> assertThat(r.commandLevel()).isZero());
    }
}
