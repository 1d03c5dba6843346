package dev.jayturn.lab.load;

import java.util.List;

/**
 * What a load run does.
 *
 * @param targets entry addresses, as IP:port
 * @param directTarget an engine that gets a like number of calls without jayturn; empty for none
 * @param callsPerSecond calls a second
 * @param warmupSeconds time before it in which answers are checked but not timed
 * @param seconds length of the run
 * @param bearerKeys callers' bearer keys
 * @param maxTokens output cap of each call
 * @param promptChars length of a short prompt
 * @param longPromptShare share of calls with a prompt twenty times as long
 * @param servicePostShare share of calls that post to the service
 * @param maxRetries how often a refused or broken call is sent again with the same key
 * @param csvFile file for the results; empty for none
 */
public record LoadOptions(
        List<String> targets,
        String directTarget,
        String model,
        String service,
        double callsPerSecond,
        int warmupSeconds,
        int seconds,
        List<String> bearerKeys,
        int maxTokens,
        int promptChars,
        double longPromptShare,
        double servicePostShare,
        int maxRetries,
        long seed,
        String csvFile) {}
