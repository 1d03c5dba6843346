package dev.jayturn.lab.budgets;

/** How the distribution of demand among data centres changes during a run. */
public enum DemandShape {
    /** Each budget's demand keeps its shares of the data centres. */
    STEADY,
    /** Each budget's shares move by one data centre half an hour into the partition. */
    SHIFTING,
    /** In some minutes one budget's demand in one data centre is ten times as high. */
    BURSTING
}
