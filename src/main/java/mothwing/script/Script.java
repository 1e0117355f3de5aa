package mothwing.script;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Collections;
import java.util.Deque;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Runs settings written in a Starlark-like script: the Starlark specification without lambda, sets,
 * star arguments and big integers, and with {@code if} and {@code for} also at the top of a file. A
 * run is deterministic: no clock, no random numbers, no I/O but {@code load}, dicts in order of
 * insertion. It ends within its {@link Limits}.
 */
public final class Script {
  /** A function that the program gives to scripts. */
  @FunctionalInterface
  public interface Builtin {
    /**
     * Is called by a script.
     *
     * @param arguments its arguments
     * @return its value, or null for None; values of other classes can be handed on but not looked
     *     into
     * @throws ScriptError where the arguments are wrong
     */
    Object call(Arguments arguments) throws ScriptError;
  }

  private final Sources sources;
  private final Run run;
  private final Map<String, Values.Function> builtins = new LinkedHashMap<>(Methods.functions());
  private final Map<String, Map<String, Object>> loaded = new LinkedHashMap<>();
  private final Deque<String> loading = new ArrayDeque<>();

  private Script(Sources sources, Limits limits, Map<String, Builtin> more) {
    this.sources = sources;
    this.run = new Run(limits);
    more.forEach(
        (name, code) ->
            builtins.put(
                name,
                arguments -> {
                  Object value = code.call(arguments);
                  return value == null ? Values.NONE : value;
                }));
  }

  /**
   * Runs a script from its first file.
   *
   * @param file the first file's name
   * @param sources gives its text, and those it loads
   * @param limits what it may use
   * @param builtins the program's own functions by name
   * @return the first file's names and values, in order of their first assignment
   * @throws ScriptError where it cannot be read or run; the message names file, line and column
   */
  public static Map<String, Object> run(
      String file, Sources sources, Limits limits, Map<String, Builtin> builtins)
      throws ScriptError {
    try {
      return new Script(sources, limits, builtins).load(new Place(file, 1, 1), file);
    } catch (StackOverflowError deep) {
      throw new ScriptError(
          new Place(file, 1, 1), "the script is nested too deep for this machine");
    }
  }

  Run run() {
    return run;
  }

  boolean builtin(String name) {
    return builtins.containsKey(name);
  }

  /** The names of a file, which is run where it was not yet. */
  Map<String, Object> load(Place at, String file) throws ScriptError {
    Map<String, Object> known = loaded.get(file);
    if (known != null) {
      return known;
    }
    if (loading.contains(file)) {
      throw new ScriptError(at, file + " loads itself, by way of " + String.join(", ", loading));
    }
    if (loaded.size() + loading.size() >= run.limits().files()) {
      throw new ScriptError(at, "more than " + run.limits().files() + " files are loaded");
    }
    String text;
    try {
      text = sources.read(file, run.limits().fileBytes());
    } catch (IOException | RuntimeException unread) {
      throw new ScriptError(at, "cannot load: " + unread.getMessage());
    }
    loading.push(file);
    run.enter(at);
    List<Tree.Statement> statements = Parser.parse(file, text, run.limits().depth());
    Tree.Scope outer = new Tree.Scope(null, this);
    outer.names().putAll(builtins);
    Tree.Scope scope = new Tree.Scope(outer, this);
    try {
      Tree.all(statements, scope);
    } catch (ArithmeticException beyond) {
      throw new ScriptError(at, "a size in the script has more than 64 bits");
    }
    Values.freeze(scope.names().values(), Collections.newSetFromMap(new IdentityHashMap<>()));
    run.leave();
    loading.pop();
    loaded.put(file, scope.names());
    return scope.names();
  }
}
