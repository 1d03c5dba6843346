package dev.jayturn.lab.capacity;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import org.apache.commons.math3.stat.regression.SimpleRegression;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.plot.PlotOrientation;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/** Measures every slope, fits a line, and writes a table and a plot of each. */
public final class CapacityReport {
    private static final int PLOT_WIDTH_PIXELS = 480;
    private static final int PLOT_HEIGHT_PIXELS = 300;
    private static final int SLOPE_SIZE_UNIT = 1_000;

    private CapacityReport() {}

    /** Writes the table slopes.md and the plots into a folder, and the table to a stream. */
    public static void write(Path folder, PrintStream out) throws IOException {
        Files.createDirectories(folder);
        StringBuilder table = new StringBuilder("# Slopes\n\n");
        table.append("Made by `bin/jayturn lab capacity`; a fit is intercept + slope x size.\n\n");
        table.append("| cost | size | at sizes | intercept | slope per 1,000 | R² |\n");
        table.append("|---|---|---|---|---|---|\n");
        for (ScalingBenchmark slope : ScalingBenchmarks.all()) {
            String row = measureRow(slope, folder);
            out.print(row);
            table.append(row);
        }
        Files.writeString(folder.resolve("slopes.md"), table, StandardCharsets.UTF_8);
    }

    private static String measureRow(ScalingBenchmark slope, Path folder) throws IOException {
        SimpleRegression fit = new SimpleRegression();
        XYSeries series = new XYSeries(slope.costName());
        StringBuilder points = new StringBuilder();
        slope.measure(slope.sizes()[0]);
        for (long size : slope.sizes()) {
            double cost = slope.measure(size);
            fit.addData(size, cost);
            series.add(size, cost);
            points.append(points.length() == 0 ? "" : ", ");
            points.append(String.format(Locale.ROOT, "%d: %.3g", size, cost));
        }
        writePlot(slope, series, folder);
        return String.format(
                Locale.ROOT,
                "| %s | %s | %s | %.3g | %.3g | %.3f |%n",
                slope.costName(),
                slope.sizeName(),
                points,
                fit.getIntercept(),
                fit.getSlope() * SLOPE_SIZE_UNIT,
                fit.getRSquare());
    }

    private static void writePlot(ScalingBenchmark slope, XYSeries series, Path folder)
            throws IOException {
        JFreeChart chart =
                ChartFactory.createXYLineChart(
                        slope.costName(),
                        slope.sizeName(),
                        slope.costName(),
                        new XYSeriesCollection(series),
                        PlotOrientation.VERTICAL,
                        false,
                        false,
                        false);
        String name = slope.costName().toLowerCase(Locale.ROOT).replaceAll("[^a-z]+", "-");
        Path file = folder.resolve(name + ".png");
        ChartUtils.saveChartAsPNG(file.toFile(), chart, PLOT_WIDTH_PIXELS, PLOT_HEIGHT_PIXELS);
    }
}
