package mothwing.control;

/**
 * The figures of the rules.
 *
 * @param answerSlack span past the due time in which an answer still counts
 * @param drainGracePeriod span after the notice in which arrivals may still run
 * @param concurrencyPerCore running requests a core that a warm server survives
 * @param concurrencyWindow span over which the crowd is averaged
 * @param coldSpeedRatio least share of full speed at a cold start
 * @param warmUpDuration span after which a started server is warm at the latest
 */
public record Rules(
    long answerSlack,
    long drainGracePeriod,
    double concurrencyPerCore,
    long concurrencyWindow,
    double coldSpeedRatio,
    long warmUpDuration) {}
