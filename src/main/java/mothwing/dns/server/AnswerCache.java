package mothwing.dns.server;

import java.util.Arrays;
import mothwing.dns.zone.Zone;

/**
 * Keeps whole answers: a table of fixed size, in which a question has one place and takes it from
 * whoever has it. An answer holds for the very version of the zone it was made from, so nothing
 * ever needs to be taken out.
 */
final class AnswerCache {
  private record Entry(byte[] key, Zone version, byte[] answer) {}

  private final Entry[] entries;

  /**
   * Makes one.
   *
   * @param most most answers, rounded up to a power of two; 0 for none
   */
  AnswerCache(int most) {
    entries = new Entry[most == 0 ? 0 : Integer.highestOneBit(Math.max(1, most * 2 - 1))];
  }

  private int place(byte[] key) {
    int hash = Arrays.hashCode(key) * 0x9e3779b9;
    return (hash >>> 16 ^ hash) & entries.length - 1;
  }

  /** The answer to a question, for its id and in its spelling; null where there is none. */
  byte[] get(Query query, byte[] key, Zone version) {
    Entry entry = entries.length == 0 ? null : entries[place(key)];
    if (entry == null || entry.version != version || !Arrays.equals(entry.key, key)) {
      return null;
    }
    byte[] answer = entry.answer.clone();
    System.arraycopy(query.bytes(), 0, answer, 0, 2);
    answer[2] = (byte) ((answer[2] & ~1) | (query.bytes()[2] & 1)); // recursion desired
    System.arraycopy(
        query.bytes(), Query.HEADER, answer, Query.HEADER, query.questionEnd() - Query.HEADER);
    if (query.replyCookie() != null) {
      System.arraycopy(query.replyCookie(), 0, answer, answer.length - Cookies.BOTH, Cookies.BOTH);
    }
    return answer;
  }

  void put(byte[] key, Zone version, byte[] answer) {
    if (entries.length > 0) {
      entries[place(key)] = new Entry(key, version, answer);
    }
  }
}
