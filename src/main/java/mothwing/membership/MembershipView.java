package mothwing.membership;

import java.util.Set;
import java.util.SortedMap;

/**
 * One member's view of all members at one moment. The views of other members may differ, for as
 * long as a partition lasts.
 *
 * @param version increased by each event
 * @param members the records by name, including its own, and those of removed members until their
 *     tombstones expire
 * @param flapping the names of members that have repeatedly died and returned, and should not be
 *     given new tasks
 * @param isolated whether this member receives messages from too few others to act on their behalf
 */
public record MembershipView(
    long version,
    SortedMap<String, MemberRecord> members,
    Set<String> flapping,
    boolean isolated) {}
