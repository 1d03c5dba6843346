package dev.jayturn.lab.load;

import java.util.List;

/**
 * Options of a load run.
 *
 * @param targets addresses of entry instances, as IP:port
 * @param directTarget engine that receives half of the chat calls without jayturn; empty for none
 * @param warmupSeconds time before the run in which answers are checked but not timed
 * @param seconds length of the run
 * @param bearerKeys bearer keys of the callers, used in turn
 * @param maxTokens maximum number of generated tokens of each call
 * @param promptChars length of a short prompt
 * @param longPromptShare share of chat calls with a prompt twenty times as long
 * @param servicePostShare share of calls that are POST requests to the service
 * @param maxRetries maximum number of times that a refused, failed or truncated call is sent again
 *     with the same idempotency key
 * @param seed seed of the mix of calls
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
