package mothwing.control;

/**
 * The figures of the rules.
 *
 * @param answerSlack span past the due time in which an answer still counts
 * @param drainGrace span after the notice in which arrivals may still run
 * @param crowdPerCore running requests a core that a warm server survives
 * @param crowdWindow span over which the crowd is averaged
 * @param coldSpeed least share of full speed at a cold start
 * @param warmAfter span after which a started server is warm at the latest
 */
public record Rules(
    long answerSlack,
    long drainGrace,
    double crowdPerCore,
    long crowdWindow,
    double coldSpeed,
    long warmAfter) {}
