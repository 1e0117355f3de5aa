package mothwing.membership;

import java.util.Set;
import java.util.SortedMap;

/**
 * What one member holds of all others at a moment. It is advice: another may hold something else,
 * for as long as a cut lasts.
 *
 * @param version goes up with each change
 * @param members the claims that hold, by name, oneself among them; dead ones as long as their
 *     tombstone stands
 * @param flapping the names that died and came back again and again of late: nothing new should be
 *     laid on them
 * @param alone whether one hears too few to speak for anybody but oneself
 */
public record MembershipView(
    long version, SortedMap<String, MemberRecord> members, Set<String> flapping, boolean alone) {}
