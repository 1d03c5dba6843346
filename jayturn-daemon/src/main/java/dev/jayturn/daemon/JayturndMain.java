package dev.jayturn.daemon;

import com.google.common.flogger.FluentLogger;
import dev.jayturn.daemon.journal.JournalCorruptException;
import dev.jayturn.daemon.loop.FatalErrors;
import dev.jayturn.daemon.settings.Settings;
import dev.jayturn.daemon.settings.SettingsException;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/** Entry point of the binary jayturnd. */
public final class JayturndMain {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int EXIT_FAILED = 1;
    private static final int EXIT_USAGE = 2;

    private JayturndMain() {}

    /** Runs a daemon until it has drained. */
    public static void main(String[] args) throws InterruptedException {
        FatalErrors.endProcessOnUncaught();
        FatalErrors.prepareLogging();
        ArgumentParser parser =
                ArgumentParsers.newFor("jayturnd")
                        .build()
                        .description("Serves callers and keeps jayturn's state.")
                        .epilog("Example: jayturnd --settings /etc/jayturn/kokura-1.ini");
        parser.addArgument("--settings")
                .help("INI file; without it one instance runs with a quorum of one and ./data");
        parser.addArgument("--init-cluster")
                .action(Arguments.storeTrue())
                .help("start a new cluster; on exactly one control instance, once in its life");
        Namespace options;
        try {
            options = parser.parseArgs(args);
        } catch (HelpScreenException e) {
            return;
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            System.exit(EXIT_USAGE);
            return;
        }
        try {
            run(options);
        } catch (IOException | SettingsException | JournalCorruptException e) {
            LOGGER.atSevere().log("daemon: %s", e.getMessage());
            System.exit(EXIT_USAGE);
        }
    }

    private static void run(Namespace options)
            throws IOException, SettingsException, JournalCorruptException, InterruptedException {
        String file = options.getString("settings");
        Settings settings = file == null ? Settings.defaults() : Settings.load(Path.of(file));
        Daemon daemon = new Daemon(settings, options.getBoolean("init_cluster"));
        Runtime.getRuntime().addShutdownHook(new Thread(() -> drainAndWait(daemon), "shutdown"));
        int status = EXIT_FAILED;
        try {
            daemon.awaitDrained();
            daemon.close();
            status = 0;
        } finally {
            Runtime.getRuntime().halt(status);
        }
    }

    /** Drains on SIGTERM and never returns, since the main thread alone sets the exit status. */
    private static void drainAndWait(Daemon daemon) {
        daemon.drain();
        try {
            new CountDownLatch(1).await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
