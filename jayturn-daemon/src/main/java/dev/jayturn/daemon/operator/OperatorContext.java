package dev.jayturn.daemon.operator;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.jayturn.core.membership.HubClient;
import dev.jayturn.core.membership.MembersView;
import dev.jayturn.core.request.EntryNode;
import java.util.concurrent.Executor;

/** What the operators' API needs of the daemon; used on the control loop. */
public interface OperatorContext {
    /** Returns the thread that everything below belongs to. */
    Executor controlLoop();

    /** Returns this instance's name. */
    String instance();

    /** Returns this instance's data centre. */
    String dataCentre();

    /** Returns the number of ledgers in the settings. */
    int ledgerCount();

    /** Returns the calls of this instance. */
    EntryNode entry();

    /** Returns the hub client. */
    HubClient hubClient();

    /** Returns the upstreams known here. */
    MembersView members();

    /** Returns the gathering of readings. */
    ControlQueryClient queryClient();

    /** Returns whether durable state can be kept; on any thread. */
    boolean isHealthy();

    /** Returns whether calls are taken. */
    boolean isReady();

    /** Adds what this instance knows as a control instance, if it is one. */
    void addControlStatus(ObjectNode node);

    /** Starts to drain; the process ends when it is done. */
    void drain();
}
