package mothwing.control;

/**
 * The parts of the users' goal.
 *
 * @param overallWeight weight of the whole time
 * @param worstWindowWeight weight of the worst stretch
 * @param worstClassWeight weight of the worst-served class
 * @param worstTenantWeight weight of the worst-served tenant
 */
public record Goal(
    double overallWeight,
    double worstWindowWeight,
    double worstClassWeight,
    double worstTenantWeight) {}
