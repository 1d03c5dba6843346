package dev.jayturn.core.fleet;

import dev.jayturn.core.consensus.Command;
import dev.jayturn.core.consensus.StateMachine;
import dev.jayturn.core.evacuation.EvacuationOrder;
import dev.jayturn.core.evacuation.EvacuationStored;
import dev.jayturn.core.evacuation.EvacuationTable;
import dev.jayturn.core.journal.JournalRecord;
import dev.jayturn.core.slice.SliceChange;
import dev.jayturn.core.slice.SliceTable;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The replicated state of the control instances: the configuration in force, the slices and the
 * emptied data centres.
 */
public final class FleetState implements StateMachine {
    private final SliceTable slices = new SliceTable();
    private final EvacuationTable evacuation = new EvacuationTable();
    private ConfigurationDocument configuration = ConfigurationDocument.NONE;
    private Runnable onConfigurationChange = () -> {};
    private Runnable onSlicesChange = () -> {};

    /**
     * Sets the listeners that run after each change of the configuration or of the emptied data
     * centres, and of the slices.
     */
    public void setListeners(Runnable configurationListener, Runnable slicesListener) {
        onConfigurationChange = configurationListener;
        onSlicesChange = slicesListener;
    }

    /** Returns the configuration in force. */
    public ConfigurationDocument configuration() {
        return configuration;
    }

    /** Returns the replicated slices. */
    public SliceTable slices() {
        return slices;
    }

    /** Returns the replicated set of emptied data centres. */
    public EvacuationTable evacuation() {
        return evacuation;
    }

    @Override
    public Object apply(long index, Command command) {
        if (command instanceof PutConfiguration put && put.version() > configuration.version()) {
            configuration = new ConfigurationDocument(put.version(), put.document());
            slices.setPrepaid(put.prepaid());
            onConfigurationChange.run();
        } else if (command instanceof SliceChange change) {
            slices.apply(change);
            onSlicesChange.run();
        } else if (command instanceof EvacuationOrder order) {
            boolean applied = evacuation.apply(index, order);
            onConfigurationChange.run();
            return applied;
        }
        return configuration.version();
    }

    @Override
    public List<JournalRecord> snapshot() {
        List<JournalRecord> items = new ArrayList<>();
        items.add(
                new ConfigurationStored(
                        configuration.version(), configuration.document(), slices.prepaid()));
        items.addAll(evacuation.snapshot());
        items.addAll(slices.snapshot());
        return items;
    }

    @Override
    public void restore(List<JournalRecord> items) {
        configuration = ConfigurationDocument.NONE;
        slices.setPrepaid(Map.of());
        slices.clear();
        evacuation.clear();
        for (JournalRecord item : items) {
            if (item instanceof ConfigurationStored stored) {
                configuration = new ConfigurationDocument(stored.version(), stored.document());
                slices.setPrepaid(stored.prepaid());
            } else if (item instanceof EvacuationStored stored) {
                evacuation.restore(stored);
            } else {
                slices.restore(item);
            }
        }
        onConfigurationChange.run();
    }
}
