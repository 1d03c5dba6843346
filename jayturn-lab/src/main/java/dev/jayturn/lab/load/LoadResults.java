package dev.jayturn.lab.load;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Counts and latencies of a load run; safe for use from several threads. */
final class LoadResults {
    private static final long MAX_LATENCY_MICROS = 600_000_000L;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double[] PERCENTILES = {50, 95, 99, 99.9, 100};

    final AtomicLong sent = new AtomicLong();
    final AtomicLong correct = new AtomicLong();
    final AtomicLong incorrect = new AtomicLong();
    final AtomicLong connectionFailures = new AtomicLong();
    final AtomicLong retries = new AtomicLong();
    final AtomicLong tokens = new AtomicLong();
    private final Map<String, Histogram> histogramsByName = new TreeMap<>();
    private final Map<String, Long> refusalsByCode = new TreeMap<>();

    synchronized Histogram histogram(String name) {
        return histogramsByName.computeIfAbsent(
                name, n -> new ConcurrentHistogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS));
    }

    void record(String name, long nanos) {
        histogram(name).recordValue(Math.min(MAX_LATENCY_MICROS, Math.max(0, nanos / 1_000)));
    }

    synchronized void recordRefusal(String code) {
        refusalsByCode.merge(code, 1L, Long::sum);
    }

    synchronized Map<String, Long> refusalsByCode() {
        return new TreeMap<>(refusalsByCode);
    }

    synchronized void print(PrintStream out, double seconds) {
        out.printf(
                "sent %d, right %d, wrong %d, broken %d, retried %d, refused %s%n",
                sent.get(),
                correct.get(),
                incorrect.get(),
                connectionFailures.get(),
                retries.get(),
                refusalsByCode);
        out.printf(
                "%.0f calls/s, %.0f tokens/s%n", correct.get() / seconds, tokens.get() / seconds);
        out.printf("%-28s %9s %9s %9s %9s %9s  (ms)%n", "", "p50", "p95", "p99", "p99.9", "max");
        histogramsByName.forEach((name, histogram) -> out.println(formatRow(name, histogram, " ")));
    }

    private static String formatRow(String name, Histogram histogram, String separator) {
        StringBuilder text = new StringBuilder(String.format("%-28s", name));
        for (double percentile : PERCENTILES) {
            double millis = histogram.getValueAtPercentile(percentile) / 1_000.0;
            text.append(separator).append(String.format("%9.2f", millis));
        }
        return text.toString();
    }

    synchronized void writeCsv(Path file) throws IOException {
        StringBuilder text = new StringBuilder("measure,p50_ms,p95_ms,p99_ms,p99.9_ms,max_ms\n");
        histogramsByName.forEach(
                (name, histogram) ->
                        text.append(formatRow(name, histogram, ",").replace(" ", "")).append('\n'));
        text.append("right,").append(correct.get()).append('\n');
        text.append("wrong,").append(incorrect.get()).append('\n');
        text.append("broken,").append(connectionFailures.get()).append('\n');
        refusalsByCode.forEach(
                (code, count) ->
                        text.append("refused ")
                                .append(code)
                                .append(',')
                                .append(count)
                                .append('\n'));
        Files.writeString(file, text, StandardCharsets.UTF_8);
    }
}
