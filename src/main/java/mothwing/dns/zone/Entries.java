package mothwing.dns.zone;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Cuts a zone file into entries (RFC 1035 section 5.1): lines, joined by parentheses, cut into
 * words and quoted texts. What is malformed costs its own entry alone: a quote that is not closed
 * ends with its line; a parenthesis that is not closed before the next one opens, or before the
 * file ends, gives up its own line, and reading goes on with the line after it.
 */
final class Entries {
  /** A word or quoted text, with its escapes as they stand. */
  record Word(String text, boolean quoted) {
    String shown() {
      return quoted ? '"' + text + '"' : text;
    }
  }

  /** One entry; {@code fault} says what is malformed, or is null. */
  record Entry(int line, boolean blankOwner, List<Word> words, String fault) {}

  private static final int MOST_WORDS = 8192;
  private static final int MOST_WORD = 65_535;

  private final byte[] text;
  private int at;
  private int line = 1;
  private int depth;
  private int opened;
  private String fault;

  Entries(byte[] text) {
    this.text = text;
  }

  /** The next entry that has words or a fault, or null at the end. */
  Entry next() {
    while (at < text.length) {
      int startLine = line;
      int afterFirst = lineEnd(at) + 1;
      boolean blank = text[at] == ' ' || text[at] == '\t';
      depth = 0;
      fault = null;
      List<Word> words = new ArrayList<>(6);
      if (!words(words)) {
        // An open parenthesis: the rest of its line is given up with it, the lines after it are
        // read again.
        at = Math.min(text.length, opened + 1);
        line = lineOf(opened, startLine, afterFirst);
        return new Entry(startLine, blank, words, "parenthesis is not closed");
      }
      if (!words.isEmpty() || fault != null) {
        return new Entry(startLine, blank, words, fault);
      }
    }
    return null;
  }

  private int lineOf(int lineFeed, int startLine, int afterFirst) {
    int count = startLine;
    for (int i = afterFirst - 1; i <= lineFeed && i < text.length; i++) {
      count += text[i] == '\n' ? 1 : 0;
    }
    return count;
  }

  private int lineEnd(int from) {
    int end = from;
    while (end < text.length && text[end] != '\n') {
      end++;
    }
    return end;
  }

  /** Reads the words of one entry; false where a parenthesis is open that should not be. */
  private boolean words(List<Word> words) {
    while (at < text.length) {
      int c = text[at];
      if (c == '\n') {
        at++;
        line++;
        if (depth == 0) {
          return true;
        }
      } else if (c == ' ' || c == '\t' || c == '\r') {
        at++;
      } else if (c == ';') {
        at = lineEnd(at);
      } else if (c == '(') {
        if (depth > 0) {
          return false;
        }
        depth = 1;
        opened = lineEnd(at);
        at++;
      } else if (c == ')') {
        if (depth == 0) {
          fault = "parenthesis is closed but not open";
        }
        depth = 0;
        at++;
      } else {
        word(words);
      }
    }
    return depth == 0;
  }

  private void word(List<Word> words) {
    boolean quoted = text[at] == '"';
    int from = quoted ? ++at : at;
    while (at < text.length && text[at] != '\n') {
      int c = text[at];
      if (c == '\\' && at + 1 < text.length && text[at + 1] != '\n') {
        at += 2;
        continue;
      }
      if (quoted
          ? c == '"'
          : c == ' ' || c == '\t' || c == '\r' || c == ';' || c == '(' || c == ')' || c == '"') {
        break;
      }
      at++;
    }
    String word = new String(text, from, at - from, StandardCharsets.ISO_8859_1);
    if (quoted) {
      if (at < text.length && text[at] == '"') {
        at++;
      } else {
        fault = "quote is not closed on its line";
      }
    }
    if (words.size() == MOST_WORDS || word.length() > MOST_WORD) {
      fault = "more than " + MOST_WORDS + " words, or a word of more than " + MOST_WORD + " bytes";
    } else {
      words.add(new Word(word, quoted));
    }
  }
}
