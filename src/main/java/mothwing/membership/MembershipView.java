package mothwing.membership;

import java.util.Set;
import java.util.SortedMap;

/**
 * What one member holds of all at one moment. Others may hold something else, for as long as a
 * partition lasts.
 *
 * @param version raised with each event
 * @param members the records by name, its own among them; removed members until their tombstone
 *     expires
 * @param flapping the names of members that died and returned again and again: they should get no
 *     new duties
 * @param isolated whether this member hears too few to act for others
 */
public record MembershipView(
    long version,
    SortedMap<String, MemberRecord> members,
    Set<String> flapping,
    boolean isolated) {}
