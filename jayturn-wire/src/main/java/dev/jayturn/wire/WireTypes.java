package dev.jayturn.wire;

import dev.jayturn.core.budget.AccountTotals;
import dev.jayturn.core.budget.Bill;
import dev.jayturn.core.budget.BillMet;
import dev.jayturn.core.budget.BillRepeated;
import dev.jayturn.core.budget.BillsCompared;
import dev.jayturn.core.budget.CancelStream;
import dev.jayturn.core.budget.CompareBills;
import dev.jayturn.core.budget.DemandReport;
import dev.jayturn.core.budget.GrantNoted;
import dev.jayturn.core.budget.GrantPull;
import dev.jayturn.core.budget.GrantTotals;
import dev.jayturn.core.budget.IncarnationSealed;
import dev.jayturn.core.budget.IncarnationStarted;
import dev.jayturn.core.budget.IntentAnswer;
import dev.jayturn.core.budget.IntentClosed;
import dev.jayturn.core.budget.IntentOpened;
import dev.jayturn.core.budget.IntentSettled;
import dev.jayturn.core.budget.LedgerQuery;
import dev.jayturn.core.budget.LedgerReading;
import dev.jayturn.core.budget.OpenIntent;
import dev.jayturn.core.budget.Register;
import dev.jayturn.core.budget.Registered;
import dev.jayturn.core.budget.SettleIntent;
import dev.jayturn.core.budget.ShareAck;
import dev.jayturn.core.budget.ShareAsk;
import dev.jayturn.core.budget.ShareGive;
import dev.jayturn.core.budget.ShareSent;
import dev.jayturn.core.budget.ShareTaken;
import dev.jayturn.core.budget.StreamCancelled;
import dev.jayturn.core.consensus.AppendReply;
import dev.jayturn.core.consensus.AppendRequest;
import dev.jayturn.core.consensus.CommitNoted;
import dev.jayturn.core.consensus.InstallChunk;
import dev.jayturn.core.consensus.InstallReply;
import dev.jayturn.core.consensus.JoinRequest;
import dev.jayturn.core.consensus.LogEntry;
import dev.jayturn.core.consensus.MemberChange;
import dev.jayturn.core.consensus.NoOp;
import dev.jayturn.core.consensus.SnapshotItem;
import dev.jayturn.core.consensus.SnapshotStart;
import dev.jayturn.core.consensus.TermVote;
import dev.jayturn.core.consensus.VoteReply;
import dev.jayturn.core.consensus.VoteRequest;
import dev.jayturn.core.control.ApplyRules;
import dev.jayturn.core.control.ChangeNoted;
import dev.jayturn.core.control.Claim;
import dev.jayturn.core.control.ClaimCall;
import dev.jayturn.core.control.ControlAnswer;
import dev.jayturn.core.control.ControlRead;
import dev.jayturn.core.control.ControlReading;
import dev.jayturn.core.control.ControlRequest;
import dev.jayturn.core.control.Credit;
import dev.jayturn.core.control.CreditNoted;
import dev.jayturn.core.control.KeyedBillNoted;
import dev.jayturn.core.control.MeetBills;
import dev.jayturn.core.control.RecordOutcome;
import dev.jayturn.core.control.ReleaseClaim;
import dev.jayturn.core.control.ResolveClaim;
import dev.jayturn.core.control.RuleLine;
import dev.jayturn.core.control.RulesVersion;
import dev.jayturn.core.directory.Heartbeat;
import dev.jayturn.core.dispatch.LoadShare;
import dev.jayturn.core.dispatch.UpstreamWork;
import dev.jayturn.core.evacuation.EvacuationAnswer;
import dev.jayturn.core.evacuation.EvacuationCall;
import dev.jayturn.core.evacuation.EvacuationOrder;
import dev.jayturn.core.evacuation.EvacuationStored;
import dev.jayturn.core.fleet.ConfigurationAnswer;
import dev.jayturn.core.fleet.ConfigurationCall;
import dev.jayturn.core.fleet.ConfigurationStored;
import dev.jayturn.core.fleet.EntryReport;
import dev.jayturn.core.fleet.FleetUpdate;
import dev.jayturn.core.fleet.HeartbeatShare;
import dev.jayturn.core.fleet.Peer;
import dev.jayturn.core.fleet.PutConfiguration;
import dev.jayturn.core.fleet.TokenAsk;
import dev.jayturn.core.fleet.TokenGive;
import dev.jayturn.core.loadview.WorkReport;
import dev.jayturn.core.loadview.WorkSum;
import dev.jayturn.core.membership.Announce;
import dev.jayturn.core.membership.HubQuery;
import dev.jayturn.core.membership.HubReading;
import dev.jayturn.core.membership.HubStatus;
import dev.jayturn.core.membership.MembersUpdate;
import dev.jayturn.core.membership.Subscribe;
import dev.jayturn.core.quarantine.EvidenceShare;
import dev.jayturn.core.quarantine.PartEvidence;
import dev.jayturn.core.quarantine.UpstreamEnd;
import dev.jayturn.core.ratelimit.PermitGrant;
import dev.jayturn.core.ratelimit.PermitRequest;
import dev.jayturn.core.ratelimit.PermitReturn;
import dev.jayturn.core.ratelimit.RateShare;
import dev.jayturn.core.ratelimit.RateStatement;
import dev.jayturn.core.resumption.OriginAnswer;
import dev.jayturn.core.resumption.OriginQuery;
import dev.jayturn.core.resumption.OriginRecord;
import dev.jayturn.core.resumption.OriginShare;
import dev.jayturn.core.rules.RulesUpdate;
import dev.jayturn.core.slice.ClockReading;
import dev.jayturn.core.slice.ConsumedStored;
import dev.jayturn.core.slice.LeaseStored;
import dev.jayturn.core.slice.RetiredStored;
import dev.jayturn.core.slice.SliceChange;
import dev.jayturn.core.slice.SliceGrant;
import dev.jayturn.core.slice.SliceIssue;
import dev.jayturn.core.slice.SliceLease;
import dev.jayturn.core.slice.SliceMark;
import dev.jayturn.core.slice.SliceReturn;
import dev.jayturn.core.slice.SliceStatus;
import dev.jayturn.core.slice.SliceStored;
import dev.jayturn.core.slice.SliceTotals;
import java.util.List;

/** The types that are sent between processes or stored in journals. */
final class WireTypes {
    /** Types written with their simple class name, which is part of the format. */
    static final List<Class<?>> NAMED_TYPES =
            List.of(
                    LedgerQuery.class,
                    LedgerReading.class,
                    ControlRead.class,
                    ControlReading.class,
                    HubQuery.class,
                    HubReading.class,
                    BillRepeated.class,
                    BillMet.class,
                    BillsCompared.class,
                    CompareBills.class,
                    MeetBills.class,
                    KeyedBillNoted.class,
                    CommitNoted.class,
                    AccountTotals.class,
                    Bill.class,
                    CancelStream.class,
                    DemandReport.class,
                    GrantNoted.class,
                    GrantPull.class,
                    GrantTotals.class,
                    IncarnationSealed.class,
                    IncarnationStarted.class,
                    IntentAnswer.class,
                    IntentClosed.class,
                    IntentOpened.class,
                    IntentSettled.class,
                    OpenIntent.class,
                    Register.class,
                    Registered.class,
                    SettleIntent.class,
                    ShareAck.class,
                    ShareAsk.class,
                    ShareGive.class,
                    ShareSent.class,
                    ShareTaken.class,
                    StreamCancelled.class,
                    AppendReply.class,
                    AppendRequest.class,
                    InstallChunk.class,
                    InstallReply.class,
                    JoinRequest.class,
                    LogEntry.class,
                    MemberChange.class,
                    NoOp.class,
                    SnapshotItem.class,
                    SnapshotStart.class,
                    TermVote.class,
                    VoteReply.class,
                    VoteRequest.class,
                    ApplyRules.class,
                    ChangeNoted.class,
                    Claim.class,
                    ClaimCall.class,
                    ControlAnswer.class,
                    ControlRequest.class,
                    Credit.class,
                    CreditNoted.class,
                    RecordOutcome.class,
                    ReleaseClaim.class,
                    ResolveClaim.class,
                    RuleLine.class,
                    RulesUpdate.class,
                    RulesVersion.class,
                    Announce.class,
                    HubStatus.class,
                    MembersUpdate.class,
                    PutConfiguration.class,
                    ConfigurationStored.class,
                    EntryReport.class,
                    FleetUpdate.class,
                    ConfigurationCall.class,
                    ConfigurationAnswer.class,
                    HeartbeatShare.class,
                    EvacuationOrder.class,
                    EvacuationStored.class,
                    EvacuationCall.class,
                    EvacuationAnswer.class,
                    SliceChange.class,
                    SliceStored.class,
                    ConsumedStored.class,
                    RetiredStored.class,
                    TokenAsk.class,
                    TokenGive.class,
                    LeaseStored.class,
                    LoadShare.class,
                    WorkReport.class,
                    WorkSum.class,
                    EvidenceShare.class,
                    RateShare.class,
                    PermitRequest.class,
                    PermitGrant.class,
                    PermitReturn.class,
                    OriginShare.class,
                    OriginQuery.class,
                    OriginAnswer.class,
                    Subscribe.class);

    /**
     * Parts of other types, written as arrays without component names because one message may hold
     * many of them. The order of their components is part of the format.
     */
    static final List<Class<?>> POSITIONAL_TYPES =
            List.of(
                    SliceStatus.class,
                    SliceGrant.class,
                    SliceLease.class,
                    SliceMark.class,
                    ClockReading.class,
                    SliceIssue.class,
                    SliceReturn.class,
                    SliceTotals.class,
                    UpstreamWork.class,
                    PartEvidence.class,
                    UpstreamEnd.class,
                    RateStatement.class,
                    OriginRecord.class,
                    Heartbeat.class,
                    Peer.class);

    private WireTypes() {}
}
