package mothwing.control;

/**
 * The parts of the users' goal.
 *
 * @param whole weight of the whole time
 * @param worstWindow weight of the worst stretch
 * @param worstClass weight of the worst-served class
 * @param worstTenant weight of the worst-served tenant
 */
public record Goal(double whole, double worstWindow, double worstClass, double worstTenant) {}
