package mothwing.control;

/**
 * The limits that a server must keep. Durations are microseconds.
 *
 * @param answerSlack duration after the due time in which an answer still counts
 * @param drainGracePeriod duration after the notice of a shutdown in which requests that arrive may
 *     still run
 * @param concurrencyPerCore running requests for each core that a warm server survives
 * @param concurrencyWindow duration over which the running requests are averaged
 * @param coldSpeedRatio share of its full speed, of 0 to 1, with which a cold server starts
 * @param warmUpDuration duration of the slow start
 */
public record ServerLimits(
    long answerSlack,
    long drainGracePeriod,
    double concurrencyPerCore,
    long concurrencyWindow,
    double coldSpeedRatio,
    long warmUpDuration) {}
