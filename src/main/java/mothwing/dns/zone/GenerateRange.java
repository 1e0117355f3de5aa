package mothwing.dns.zone;

/**
 * The numbers of a {@code $GENERATE} directive.
 *
 * @param from the first number
 * @param to the last number at most, not below {@code from}
 * @param step the difference between two numbers, above 0
 */
record GenerateRange(int from, int to, int step) {
  /** Most steps of one directive. */
  static final int MAX_STEPS = 65_536;

  /**
   * Parses a range.
   *
   * @param text {@code from-to} or {@code from-to/step}
   * @return the range
   * @throws GenerateTemplate.Malformed if the text is no range, or one that is empty or too long
   */
  static GenerateRange parse(String text) throws GenerateTemplate.Malformed {
    if (!text.matches("[0-9]{1,9}-[0-9]{1,9}(/[0-9]{1,9})?")) {
      throw new GenerateTemplate.Malformed(
          "$GENERATE range " + text + ", expected from-to or from-to/step");
    }
    String[] parts = text.split("[-/]");
    int from = Integer.parseInt(parts[0]);
    int to = Integer.parseInt(parts[1]);
    int step = parts.length > 2 ? Integer.parseInt(parts[2]) : 1;
    if (step == 0 || to < from || (to - from) / step >= MAX_STEPS) {
      throw new GenerateTemplate.Malformed(
          "$GENERATE range " + text + " is empty or has more than " + MAX_STEPS + " steps");
    }
    return new GenerateRange(from, to, step);
  }
}
