package mothwing.control;

/**
 * The weights of the parts of the service objective. The controller does not decide by them.
 *
 * @param overallWeight weight of the mean over the whole time
 * @param worstWindowWeight weight of the worst time window
 * @param worstClassWeight weight of the class that is served worst
 * @param worstTenantWeight weight of the tenant that is served worst
 */
public record ObjectiveWeights(
    double overallWeight,
    double worstWindowWeight,
    double worstClassWeight,
    double worstTenantWeight) {}
