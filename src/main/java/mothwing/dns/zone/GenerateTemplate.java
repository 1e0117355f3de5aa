package mothwing.dns.zone;

/** The placeholders in the words of a {@code $GENERATE} directive. */
final class GenerateTemplate {
  /** A malformed placeholder. */
  static final class Malformed extends Exception {
    private static final long serialVersionUID = 1L;

    Malformed(String message) {
      super(message, null, false, false);
    }
  }

  private GenerateTemplate() {}

  /**
   * Replaces {@code $} and <code>${offset,width,base}</code> in a word by a number.
   *
   * @param text the word
   * @param number the number
   * @return the word of one record
   * @throws Malformed if a placeholder is malformed
   */
  static String expand(String text, int number) throws Malformed {
    StringBuilder made = new StringBuilder();
    for (int i = 0; i < text.length(); i++) {
      char c = text.charAt(i);
      if (c == '\\' && i + 1 < text.length()) {
        made.append(text.charAt(i + 1) == '$' ? "" : "\\").append(text.charAt(++i));
      } else if (c != '$') {
        made.append(c);
      } else if (i + 1 < text.length() && text.charAt(i + 1) == '{') {
        int end = text.indexOf('}', i);
        String inside = end < 0 ? "" : text.substring(i + 2, end);
        if (!inside.matches("-?[0-9]{1,9}(,[0-9]{1,2}(,[doxX])?)?")) {
          throw new Malformed("$GENERATE: ${" + inside + "} is not ${offset,width,base}");
        }
        String[] parts = inside.split(",");
        int width = parts.length > 1 ? Integer.parseInt(parts[1]) : 0;
        String base = parts.length > 2 ? parts[2] : "d";
        String digits = String.format("%" + base, number + Integer.parseInt(parts[0]));
        made.append("0".repeat(Math.max(0, width - digits.length()))).append(digits);
        i = end;
      } else {
        made.append(number);
      }
    }
    return made.toString();
  }
}
