package dev.jayturn.daemon.operator;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.jayturn.core.membership.HubClient;
import dev.jayturn.core.membership.MembersView;
import dev.jayturn.core.request.EntryNode;
import java.util.concurrent.Executor;

/** The parts of the daemon that the operators' API uses, on the control loop. */
public interface OperatorContext {
    /** Returns the control loop, on which the other methods are called. */
    Executor controlLoop();

    /** Returns this instance's name. */
    String instance();

    /** Returns this instance's data centre. */
    String dataCentre();

    /** Returns the number of ledgers in the settings. */
    int ledgerCount();

    /** Returns the node that runs this instance's calls. */
    EntryNode entry();

    /** Returns the client of the membership hubs. */
    HubClient hubClient();

    /** Returns the upstreams known to this instance. */
    MembersView members();

    /** Returns the client for queries to control instances. */
    ControlQueryClient queryClient();

    /** Returns whether the journals accept writes; may be called on any thread. */
    boolean isHealthy();

    /** Returns whether this instance accepts calls. */
    boolean isReady();

    /** Adds the status of the control components, if this is a control instance. */
    void addControlStatus(ObjectNode node);

    /** Starts to drain; the process exits once the drain has finished. */
    void drain();
}
