package mothwing.script;

/** What one evaluation has used so far, over all its files. */
final class Run {
  private final Limits limits;
  private long steps;
  private long cells;
  private int depth;

  Run(Limits limits) {
    this.limits = limits;
  }

  Limits limits() {
    return limits;
  }

  void step(Place at) throws ScriptError {
    if (++steps > limits.steps()) {
      throw new ScriptError(at, "the script takes more than " + limits.steps() + " steps");
    }
  }

  void made(Place at, long more) throws ScriptError {
    cells += more;
    if (cells > limits.cells() || more < 0) {
      throw new ScriptError(
          at, "the script makes more than " + limits.cells() + " items and characters");
    }
  }

  void enter(Place at) throws ScriptError {
    if (++depth > limits.depth()) {
      throw new ScriptError(at, "calls are more than " + limits.depth() + " deep");
    }
  }

  void leave() {
    depth--;
  }
}
