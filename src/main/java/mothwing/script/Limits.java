package mothwing.script;

/**
 * What a script may use. At a limit it ends with an error that names the place and the limit.
 *
 * @param steps most expressions and statements evaluated, over all files
 * @param depth most calls or brackets within each other
 * @param cells most list items, dict entries and characters made, over the whole run
 * @param fileBytes most bytes of one file
 * @param files most files loaded
 */
public record Limits(long steps, int depth, long cells, int fileBytes, int files) {
  /** Enough for settings written by hand or by a small loop. */
  public static final Limits USUAL = new Limits(1_000_000, 64, 4_000_000, 256 << 10, 32);
}
