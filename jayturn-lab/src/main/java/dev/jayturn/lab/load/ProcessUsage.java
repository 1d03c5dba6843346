package dev.jayturn.lab.load;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** What a process on this machine uses, as its system tells it. */
public final class ProcessUsage {
    private static final Path PROCESSES = Path.of("/proc");

    private ProcessUsage() {}

    /** Returns the most memory that a process has had resident, in bytes. */
    public static long peakMemoryBytes(long pid) throws IOException {
        for (String line : Files.readAllLines(folder(pid).resolve("status"))) {
            if (line.startsWith("VmHWM:")) {
                return Long.parseLong(line.replaceAll("\\D", "")) << 10;
            }
        }
        throw new IOException("the system does not tell the memory of process " + pid);
    }

    /** Returns the number of descriptors that a process has open; 0 if it has ended. */
    public static int openDescriptors(long pid) {
        String[] descriptors = folder(pid).resolve("fd").toFile().list();
        return descriptors == null ? 0 : descriptors.length;
    }

    private static Path folder(long pid) {
        return PROCESSES.resolve(Long.toString(pid));
    }
}
