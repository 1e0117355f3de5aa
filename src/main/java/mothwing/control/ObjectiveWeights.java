package mothwing.control;

/**
 * The weights of the components of the service objective. The controller does not use them for its
 * decisions.
 *
 * @param overallWeight weight of the mean over the whole time
 * @param worstWindowWeight weight of the worst time window
 * @param worstClassWeight weight of the class with the worst service
 * @param worstTenantWeight weight of the tenant with the worst service
 */
public record ObjectiveWeights(
    double overallWeight,
    double worstWindowWeight,
    double worstClassWeight,
    double worstTenantWeight) {}
