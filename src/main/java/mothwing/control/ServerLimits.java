package mothwing.control;

/**
 * The limits that a server must keep. Durations are microseconds.
 *
 * @param answerSlack duration after the due time in which an answer is still accepted
 * @param drainGracePeriod duration after a shutdown request in which requests that arrive may still
 *     run
 * @param concurrencyPerCore number of running requests per core that a warm server tolerates
 * @param concurrencyWindow duration over which the number of running requests is averaged
 * @param coldSpeedRatio share of its full speed, from 0 to 1, at which a cold server starts
 * @param warmUpDuration duration of the slow start
 */
public record ServerLimits(
    long answerSlack,
    long drainGracePeriod,
    double concurrencyPerCore,
    long concurrencyWindow,
    double coldSpeedRatio,
    long warmUpDuration) {}
