package mothwing.script;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The arguments of one call of a built-in, with errors that name the call's place and the argument.
 */
public final class Arguments {
  private final String function;
  private final Place at;
  private final List<Object> positional;
  private final Map<String, Object> named;
  private final Run run;

  Arguments(
      String function, Place at, List<Object> positional, Map<String, Object> named, Run run) {
    this.function = function;
    this.at = at;
    this.positional = positional;
    this.named = new LinkedHashMap<>(named);
    this.run = run;
  }

  /**
   * Where the call stands.
   *
   * @return its place
   */
  public Place at() {
    return at;
  }

  Run run() {
    return run;
  }

  int count() {
    return positional.size();
  }

  /**
   * Makes the error of this call.
   *
   * @param message what is wrong
   * @return the error, to be thrown
   */
  public ScriptError wrong(String message) {
    return new ScriptError(at, function + ": " + message);
  }

  /**
   * The positional argument at an index, or one that was given by name; null where there is none.
   */
  private Object take(int index, String name) throws ScriptError {
    Object value = named.remove(name);
    if (index >= 0 && index < positional.size()) {
      if (value != null) {
        throw wrong("argument " + name + " is given twice");
      }
      return positional.get(index);
    }
    return value;
  }

  Object any(int index, String name) throws ScriptError {
    Object value = take(index, name);
    if (value == null) {
      throw wrong("argument " + name + " is missing");
    }
    return value;
  }

  Object any(int index, String name, Object usual) throws ScriptError {
    Object value = take(index, name);
    return value == null ? usual : value;
  }

  private <T> T typed(String name, Object value, Class<T> type, String wanted) throws ScriptError {
    if (!type.isInstance(value)) {
      throw wrong("argument " + name + " is " + Values.typed(value) + ", expected " + wanted);
    }
    return type.cast(value);
  }

  <T> T any(int index, String name, Class<T> type, String wanted) throws ScriptError {
    return typed(name, any(index, name), type, wanted);
  }

  /**
   * A text that must be given by name.
   *
   * @param name the argument's name
   * @return its value
   * @throws ScriptError where it is missing or no string
   */
  public String text(String name) throws ScriptError {
    return any(-1, name, String.class, "a string");
  }

  /**
   * A text that may be left out.
   *
   * @param name the argument's name
   * @param usual its value where it is not given
   * @return its value
   * @throws ScriptError where it is no string
   */
  public String text(String name, String usual) throws ScriptError {
    Object value = any(-1, name, usual);
    return value == usual || value == Values.NONE
        ? usual
        : typed(name, value, String.class, "a string");
  }

  /**
   * A whole number that may be left out.
   *
   * @param name the argument's name
   * @param usual its value where it is not given
   * @param least the least allowed
   * @param most the most allowed
   * @return its value
   * @throws ScriptError where it is none, or out of bounds
   */
  public long whole(String name, long usual, long least, long most) throws ScriptError {
    long value = typed(name, any(-1, name, (Object) usual), Long.class, "an int");
    if (value < least || value > most) {
      throw wrong("argument " + name + " is " + value + ", expected " + least + " to " + most);
    }
    return value;
  }

  /**
   * A number that may be left out.
   *
   * @param name the argument's name
   * @param usual its value where it is not given
   * @param least the least allowed
   * @param most the most allowed
   * @return its value
   * @throws ScriptError where it is none, or out of bounds
   */
  public double number(String name, double usual, double least, double most) throws ScriptError {
    Object given = any(-1, name, (Object) usual);
    double value =
        given instanceof Long whole ? whole : typed(name, given, Double.class, "a number");
    if (!(value >= least && value <= most)) {
      throw wrong("argument " + name + " is " + value + ", expected " + least + " to " + most);
    }
    return value;
  }

  /**
   * A yes or no that may be left out.
   *
   * @param name the argument's name
   * @param usual its value where it is not given
   * @return its value
   * @throws ScriptError where it is neither
   */
  public boolean mark(String name, boolean usual) throws ScriptError {
    return typed(name, any(-1, name, (Object) usual), Boolean.class, "True or False");
  }

  /**
   * An argument by its place or its name.
   *
   * @param index its place
   * @param name its name
   * @param type the type of its value
   * @param wanted what it is, for complaints
   * @param <T> the type of its value
   * @return its value
   * @throws ScriptError where it is missing or of another type
   */
  public <T> T given(int index, String name, Class<T> type, String wanted) throws ScriptError {
    return any(index, name, type, wanted);
  }

  /**
   * A list, each item of one type, that may be left out.
   *
   * @param name the argument's name
   * @param type the type of its items
   * @param wanted what an item is, for complaints
   * @param <T> the type of its items
   * @return its items, or an empty list
   * @throws ScriptError where it is no list, or an item is of another type
   */
  public <T> List<T> list(String name, Class<T> type, String wanted) throws ScriptError {
    List<T> all = new ArrayList<>();
    for (Object one : typed(name, any(-1, name, List.of()), List.class, "a list")) {
      all.add(typed(name + "[" + all.size() + "]", one, type, wanted));
    }
    return all;
  }

  /**
   * Complains of what nobody has asked for.
   *
   * @param mostPositional how many arguments without a name are known
   * @throws ScriptError where there is an argument more
   */
  public void done(int mostPositional) throws ScriptError {
    if (positional.size() > mostPositional) {
      throw wrong(
          mostPositional == 0
              ? "takes arguments by name only"
              : "takes at most " + mostPositional + " arguments, not " + positional.size());
    }
    if (!named.isEmpty()) {
      throw wrong("unknown argument " + named.keySet().iterator().next());
    }
  }
}
