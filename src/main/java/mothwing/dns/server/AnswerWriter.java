package mothwing.dns.server;

import java.util.List;
import mothwing.dns.zone.Answer;
import mothwing.dns.zone.Answer.Part;
import mothwing.dns.zone.DomainName;
import mothwing.dns.zone.RRset;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Type;

/**
 * Writes answers (RFC 1035 section 4.1). Owners are compressed against the names before them; data
 * stand as the zone has them. What does not fit cuts the answer (TC) for the sections that must be
 * whole, and is left out of the additional section, which need not be (RFC 2181 section 9).
 */
final class AnswerWriter {
  /** Most bytes of an answer over TCP. */
  static final int TCP = 65_535;

  /** Extended errors (RFC 8914 section 5.2). */
  static final int OTHER = 0;

  /** The server does not do that. */
  static final int NOT_SUPPORTED = 21;

  /** The server has no authority over the name. */
  static final int NOT_AUTHORITATIVE = 20;

  /** The client may not do that. */
  static final int PROHIBITED = 18;

  private static final int AA = 0x0400;
  private static final int TC = 0x0200;
  private static final int EDE = 15;
  private static final int COOKIE = 10;
  private static final int OPT_BYTES = 11;
  private static final int MOST_NAMES = 64;
  private static final int POINTER = 0xc000;
  private static final int UDP_PAYLOAD = 1232; // what this server takes over UDP

  private final byte[] out;
  private final int[] names =
      new int[MOST_NAMES]; // where labels of names that can be pointed to begin
  private int known;
  private int at;
  private int limit;

  private AnswerWriter(int limit) {
    this.limit = limit;
    out = new byte[limit];
  }

  /**
   * Writes an answer of a zone.
   *
   * @param query the question
   * @param answer what the zone says
   * @param limit most bytes
   * @return the message
   */
  static byte[] answer(Query query, Answer answer, int limit) {
    AnswerWriter writer = new AnswerWriter(limit);
    writer.limit = limit - (query.edns() ? OPT_BYTES + cookieBytes(query) : 0);
    writer.question(query);
    int flags = answer.authoritative() ? AA : 0;
    int answers = writer.section(answer.answer(), true);
    int authority = answers < 0 ? -1 : writer.section(answer.authority(), true);
    int additional = authority < 0 ? 0 : writer.section(answer.additional(), false);
    if (authority < 0) {
      flags |= TC;
    }
    writer.limit = limit;
    if (query.edns()) {
      writer.opt(query, 0, null, 0);
      additional++;
    }
    writer.header(
        query, flags, answer.rcode(), Math.max(0, answers), Math.max(0, authority), additional);
    return java.util.Arrays.copyOf(writer.out, writer.at);
  }

  /**
   * Writes an error.
   *
   * @param query the message it answers
   * @param rcode its code
   * @param ede its extended code, sent to whoever speaks EDNS
   * @param text a few words on it, or null for no extended error
   * @return the message, longer than the message it answers by a few words and a cookie alone, and
   *     only where that message has an OPT record
   */
  static byte[] error(Query query, int rcode, int ede, String text) {
    byte[] words = text == null ? null : text.getBytes(java.nio.charset.StandardCharsets.US_ASCII);
    AnswerWriter writer =
        new AnswerWriter(
            query.questionEnd()
                + OPT_BYTES
                + cookieBytes(query)
                + (words == null ? 0 : 6 + words.length));
    writer.question(query);
    if (query.edns()) {
      writer.opt(query, rcode >> 4, words, ede);
    }
    writer.header(query, 0, rcode & 15, 0, 0, query.edns() ? 1 : 0);
    return java.util.Arrays.copyOf(writer.out, writer.at);
  }

  /** The same, without the words where it would have more bytes than it may. */
  static byte[] error(Query query, int rcode, int ede, String text, int limit) {
    byte[] answer = error(query, rcode, ede, text);
    return answer.length > limit ? error(query, rcode, ede, null) : answer;
  }

  /**
   * The least bytes that an answer has room for: those of the question, the OPT record and a
   * cookie.
   */
  static int least(Query query) {
    return query.questionEnd() + (query.edns() ? OPT_BYTES + cookieBytes(query) : 0);
  }

  private static int cookieBytes(Query query) {
    return query.replyCookie() == null ? 0 : 4 + Cookies.BOTH;
  }

  /** An answer that sends whoever asked to TCP. */
  static byte[] truncated(Query query) {
    byte[] answer = error(query, Rcode.NOERROR, 0, null);
    answer[2] |= TC >> 8;
    return answer;
  }

  private void u16(int value) {
    out[at++] = (byte) (value >> 8);
    out[at++] = (byte) value;
  }

  private void header(
      Query query, int flags, int rcode, int answers, int authority, int additional) {
    int end = at;
    at = 0;
    u16(query.id());
    u16(query.echoedFlags() | flags | rcode);
    u16(query.questionEnd() > Query.HEADER ? 1 : 0);
    u16(answers);
    u16(authority);
    u16(additional);
    at = end;
  }

  /** The question as it came, letter by letter (RFC 4343 section 4.1). */
  private void question(Query query) {
    at = query.questionEnd();
    System.arraycopy(query.bytes(), Query.HEADER, out, Query.HEADER, at - Query.HEADER);
    if (at > Query.HEADER) {
      remember(Query.HEADER);
    }
  }

  /** Remembers the labels of an uncompressed part of a name as places that can be pointed to. */
  private void remember(int from) {
    for (int i = from; out[i] > 0 && known < MOST_NAMES; i += out[i] + 1) {
      names[known++] = i;
    }
  }

  /** Writes sets; gives the number of records, or where whole sets must fit and one does not -1. */
  private int section(List<Part> parts, boolean whole) {
    int records = 0;
    for (Part part : parts) {
      int before = at;
      int names = known;
      int count = set(part);
      if (count < 0) {
        at = before;
        known = names;
        if (whole) {
          return -1;
        }
        continue;
      }
      records += count;
    }
    return records;
  }

  private int set(Part part) {
    RRset set = part.set();
    byte[] packed = set.packed();
    int count = 0;
    int owner = part.owner() == null ? Query.HEADER : -1;
    for (int from = 0; from < packed.length; from = set.next(from)) {
      int length = set.length(from);
      if (at + 2 + 10 + length > limit) {
        return -1;
      }
      if (owner >= 0) {
        u16(POINTER | owner);
      } else {
        owner = at;
        if (!name(part.owner(), 10 + length)) {
          return -1;
        }
      }
      u16(set.type());
      u16(1);
      u16(part.ttl() >>> 16);
      u16(part.ttl());
      System.arraycopy(packed, from, out, at, length + 2);
      if (set.type() == Type.CNAME || set.type() == Type.NS) {
        remember(at + 2);
      }
      at += length + 2;
      count++;
    }
    return count;
  }

  /**
   * Writes a name, pointing to the longest end of it that stands before; false where there is no
   * room.
   */
  private boolean name(DomainName name, int after) {
    byte[] wire = name.wire();
    int from = 0;
    int target = -1;
    while (wire[from] != 0 && (target = find(wire, from)) < 0) {
      from += wire[from] + 1;
    }
    if (at + from + 2 + after > limit) {
      return false;
    }
    System.arraycopy(wire, 0, out, at, from);
    int start = at;
    at += from;
    if (target >= 0 && wire[from] != 0) {
      u16(POINTER | target);
    } else {
      out[at++] = 0;
    }
    for (int i = start; i < start + from && known < MOST_NAMES; i += out[i] + 1) {
      names[known++] = i;
    }
    return true;
  }

  private int find(byte[] wire, int from) {
    for (int i = 0; i < known; i++) {
      if (names[i] < 0x4000 && sameName(wire, from, names[i])) {
        return names[i];
      }
    }
    return -1;
  }

  /** Whether the rest of a name is what stands at a place of the message, pointers followed. */
  private boolean sameName(byte[] wire, int from, int place) {
    int i = from;
    int there = place;
    while (true) {
      while ((out[there] & 0xc0) == 0xc0) {
        there = (out[there] & 0x3f) << 8 | (out[there + 1] & 0xff);
      }
      int length = wire[i];
      if (out[there] != length) {
        return false;
      } else if (length == 0) {
        return true;
      }
      for (int k = 1; k <= length; k++) {
        int letter = out[there + k];
        if (wire[i + k] != (letter >= 'A' && letter <= 'Z' ? letter + ('a' - 'A') : letter)) {
          return false;
        }
      }
      i += length + 1;
      there += length + 1;
    }
  }

  /**
   * The OPT record (RFC 6891 section 6.1.2), with an extended error where there are words on one.
   */
  private void opt(Query query, int extendedRcode, byte[] words, int ede) {
    out[at++] = 0;
    u16(Type.OPT);
    u16(UDP_PAYLOAD);
    out[at++] = (byte) extendedRcode;
    out[at++] = 0;
    u16(0);
    u16((words == null ? 0 : 6 + words.length) + cookieBytes(query));
    if (words != null) {
      u16(EDE);
      u16(2 + words.length);
      u16(ede);
      System.arraycopy(words, 0, out, at, words.length);
      at += words.length;
    }
    if (query.replyCookie() != null) { // last, where the cache finds it
      u16(COOKIE);
      u16(Cookies.BOTH);
      System.arraycopy(query.replyCookie(), 0, out, at, Cookies.BOTH);
      at += Cookies.BOTH;
    }
  }
}
