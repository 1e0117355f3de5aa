package mothwing.script;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Values and operators: None, bool, int (64 bits), float, string, list, tuple, dict, functions and
 * opaque values.
 */
final class Values {
  /** The value None. */
  static final Object NONE =
      new Object() {
        @Override
        public String toString() {
          return "None";
        }
      };

  /** Something that can be called. */
  interface Function {
    Object call(Arguments arguments) throws ScriptError;
  }

  /** A list; one that was loaded from another file, or is walked through, cannot be changed. */
  static final class Items extends ArrayList<Object> {
    private static final long serialVersionUID = 1L;
    private boolean frozen;
    private int walks;

    Items() {}

    Items(List<Object> from) {
      super(from);
    }
  }

  /** A dict, in order of insertion. */
  static final class Dict extends LinkedHashMap<Object, Object> {
    private static final long serialVersionUID = 1L;
    private boolean frozen;
    private int walks;
  }

  /** A tuple. */
  record Tuple(List<Object> parts) {}

  /** Most characters of a value's text; what is beyond is cut. */
  static final int MOST_SHOWN = 1 << 20;

  private Values() {}

  static String type(Object value) {
    if (value == NONE) {
      return "NoneType";
    } else if (value instanceof Boolean) {
      return "bool";
    } else if (value instanceof Long) {
      return "int";
    } else if (value instanceof Double) {
      return "float";
    } else if (value instanceof String) {
      return "string";
    } else if (value instanceof List) {
      return "list";
    } else if (value instanceof Dict) {
      return "dict";
    } else if (value instanceof Tuple) {
      return "tuple";
    } else if (value instanceof Function) {
      return "function";
    }
    return value.getClass().getSimpleName().toLowerCase(java.util.Locale.ROOT);
  }

  /** The type of a value with an article, for complaints. */
  static String typed(Object value) {
    return value == NONE
        ? "None"
        : ("aeiou".indexOf(type(value).charAt(0)) >= 0 ? "an " : "a ") + type(value);
  }

  static boolean truth(Object value) {
    if (value instanceof Boolean flag) {
      return flag;
    } else if (value instanceof Long number) {
      return number != 0;
    } else if (value instanceof Double number) {
      return number != 0;
    } else if (value instanceof String text) {
      return !text.isEmpty();
    } else if (value instanceof List<?> list) {
      return !list.isEmpty();
    } else if (value instanceof Dict dict) {
      return !dict.isEmpty();
    } else if (value instanceof Tuple tuple) {
      return !tuple.parts().isEmpty();
    }
    return value != NONE;
  }

  private static List<?> sequence(Object value) {
    return value instanceof Tuple tuple
        ? tuple.parts()
        : value instanceof List<?> list ? list : null;
  }

  static boolean same(Run run, Place at, Object one, Object other) throws ScriptError {
    run.step(at);
    if (number(one) && number(other)) {
      return (one instanceof Long && other instanceof Long)
          ? one.equals(other)
          : real(one) == real(other);
    } else if (one.getClass() == other.getClass() && one instanceof Dict left) {
      Dict right = (Dict) other;
      for (Map.Entry<Object, Object> entry : left.entrySet()) {
        Object value = right.get(entry.getKey());
        if (value == null || !same(run, at, entry.getValue(), value)) {
          return false;
        }
      }
      return left.size() == right.size();
    } else if (one.getClass() == other.getClass() && sequence(one) != null) {
      List<?> left = sequence(one);
      List<?> right = sequence(other);
      for (int i = 0; i < left.size() && left.size() == right.size(); i++) {
        if (!same(run, at, left.get(i), right.get(i))) {
          return false;
        }
      }
      return left.size() == right.size();
    }
    return one.equals(other);
  }

  static int compare(Run run, Place at, Object one, Object other) throws ScriptError {
    run.step(at);
    if (number(one) && number(other)) {
      return one instanceof Long a && other instanceof Long b
          ? Long.compare(a, b)
          : Double.compare(real(one), real(other));
    } else if (one instanceof String a && other instanceof String b) {
      return a.compareTo(b);
    } else if (one instanceof Boolean a && other instanceof Boolean b) {
      return Boolean.compare(a, b);
    }
    List<?> left = sequence(one);
    List<?> right = sequence(other);
    if (left == null || right == null || one.getClass() != other.getClass()) {
      throw new ScriptError(at, "cannot compare " + typed(one) + " with " + typed(other));
    }
    for (int i = 0; i < Math.min(left.size(), right.size()); i++) {
      int order = compare(run, at, left.get(i), right.get(i));
      if (order != 0) {
        return order;
      }
    }
    return Integer.compare(left.size(), right.size());
  }

  private static boolean number(Object value) {
    return value instanceof Long || value instanceof Double;
  }

  private static double real(Object value) {
    return ((Number) value).doubleValue();
  }

  /** Goes through a value's items; whoever walks must call {@link #walked} at the end. */
  static Iterable<?> walk(Place at, Object value) throws ScriptError {
    if (value instanceof Items items) {
      items.walks++;
      return items;
    } else if (value instanceof Dict dict) {
      dict.walks++;
      return dict.keySet();
    } else if (value instanceof Tuple tuple) {
      return tuple.parts();
    }
    throw new ScriptError(
        at, typed(value) + " cannot be walked through, expected a list, tuple or dict");
  }

  static void walked(Object value) {
    if (value instanceof Items items) {
      items.walks--;
    } else if (value instanceof Dict dict) {
      dict.walks--;
    }
  }

  /** The items of a value, copied. */
  static Items items(Arguments arguments, Object value) throws ScriptError {
    Items copy = new Items();
    for (Object one : walk(arguments.at(), value)) {
      copy.add(one);
    }
    walked(value);
    arguments.run().made(arguments.at(), copy.size());
    return copy;
  }

  static void changing(Place at, Object value) throws ScriptError {
    boolean frozen =
        value instanceof Items items ? items.frozen : value instanceof Dict dict && dict.frozen;
    int walks =
        value instanceof Items items ? items.walks : value instanceof Dict dict ? dict.walks : 0;
    if (frozen || walks > 0) {
      throw new ScriptError(
          at,
          "this "
              + type(value)
              + " cannot be changed: "
              + (frozen ? "it was loaded from another file" : "a loop walks through it"));
    }
  }

  /** Freezes all that can be reached from some values, each once. */
  static void freeze(Iterable<Object> values, Set<Object> done) {
    for (Object value : values) {
      if (value instanceof Items items && done.add(items)) {
        items.frozen = true;
        freeze(items, done);
      } else if (value instanceof Dict dict && done.add(dict)) {
        dict.frozen = true;
        freeze(dict.values(), done);
      } else if (value instanceof Tuple tuple && done.add(tuple)) {
        freeze(tuple.parts(), done);
      }
    }
  }

  static Object key(Run run, Place at, Object value) throws ScriptError {
    run.step(at);
    if (value instanceof List || value instanceof Dict) {
      throw new ScriptError(at, typed(value) + " cannot be a key of a dict");
    } else if (value instanceof Tuple tuple) {
      for (Object part : tuple.parts()) {
        key(run, at, part);
      }
    }
    return value instanceof Double real && real == Math.rint(real) && Math.abs(real) < 1e15
        ? (Object) real.longValue()
        : value;
  }

  static Object binary(Run run, Place at, String operator, Object one, Object other)
      throws ScriptError {
    switch (operator) {
      case "==":
        return same(run, at, one, other);
      case "!=":
        return !same(run, at, one, other);
      case "<":
        return compare(run, at, one, other) < 0;
      case ">":
        return compare(run, at, one, other) > 0;
      case "<=":
        return compare(run, at, one, other) <= 0;
      case ">=":
        return compare(run, at, one, other) >= 0;
      case "in":
        return contains(run, at, other, one);
      case "not in":
        return !contains(run, at, other, one);
      default:
        break;
    }
    if (one instanceof Long a && other instanceof Long b && !operator.equals("/")) {
      return whole(at, operator, a, b);
    } else if (number(one) && number(other)) {
      return floating(at, operator, real(one), real(other));
    } else if (operator.equals("+") && one instanceof String a && other instanceof String b) {
      run.made(at, (long) a.length() + b.length());
      return a + b;
    } else if (operator.equals("+") && one instanceof Items a && other instanceof Items b) {
      return joined(run, at, a, b);
    } else if (operator.equals("+") && one instanceof Tuple a && other instanceof Tuple b) {
      return new Tuple(List.copyOf(joined(run, at, a.parts(), b.parts())));
    } else if (operator.equals("*") && other instanceof Long times && !(one instanceof Long)) {
      return repeated(run, at, one, times);
    } else if (operator.equals("*") && one instanceof Long times) {
      return repeated(run, at, other, times);
    } else if (operator.equals("%") && one instanceof String format) {
      return Methods.percent(run, at, format, other);
    }
    throw unsupported(at, operator, one, other);
  }

  private static ScriptError unsupported(Place at, String operator, Object one, Object other) {
    return new ScriptError(
        at, "'" + operator + "' does not go with " + typed(one) + " and " + typed(other));
  }

  private static Items joined(Run run, Place at, List<Object> one, List<Object> other)
      throws ScriptError {
    run.made(at, (long) one.size() + other.size());
    Items all = new Items(one);
    all.addAll(other);
    return all;
  }

  private static Object repeated(Run run, Place at, Object value, long times) throws ScriptError {
    long count = Math.max(0, Math.min(times, run.limits().cells() + 1));
    if (value instanceof String text) {
      run.made(at, Math.multiplyExact(count, text.length()));
      return text.repeat((int) count);
    } else if (value instanceof Items || value instanceof Tuple) {
      List<Object> parts = value instanceof Tuple tuple ? tuple.parts() : (Items) value;
      run.made(at, Math.multiplyExact(count, parts.size()));
      Items all = new Items();
      for (long i = 0; i < count; i++) {
        all.addAll(parts);
      }
      return value instanceof Tuple ? new Tuple(List.copyOf(all)) : all;
    }
    throw unsupported(at, "*", value, times);
  }

  private static Object whole(Place at, String operator, long a, long b) throws ScriptError {
    try {
      switch (operator) {
        case "+":
          return Math.addExact(a, b);
        case "-":
          return Math.subtractExact(a, b);
        case "*":
          return Math.multiplyExact(a, b);
        case "//":
          return Math.floorDiv(a, b);
        case "%":
          return Math.floorMod(a, b);
        default:
          throw unsupported(at, operator, a, b);
      }
    } catch (ArithmeticException beyond) {
      throw new ScriptError(at, b == 0 ? "division by zero" : "the result has more than 64 bits");
    }
  }

  private static Object floating(Place at, String operator, double a, double b) throws ScriptError {
    if (b == 0 && "//%".contains(operator)) {
      throw new ScriptError(at, "division by zero");
    }
    return switch (operator) {
      case "+" -> a + b;
      case "-" -> a - b;
      case "*" -> a * b;
      case "/" -> a / b;
      case "//" -> Math.floor(a / b);
      case "%" -> a - b * Math.floor(a / b);
      default -> throw unsupported(at, operator, a, b);
    };
  }

  private static boolean contains(Run run, Place at, Object in, Object value) throws ScriptError {
    if (in instanceof String text && value instanceof String part) {
      return text.contains(part);
    } else if (in instanceof Dict dict) {
      return dict.containsKey(key(run, at, value));
    } else if (in instanceof List || in instanceof Tuple) {
      List<?> parts = in instanceof Tuple tuple ? tuple.parts() : (List<?>) in;
      for (Object one : parts) {
        if (same(run, at, one, value)) {
          return true;
        }
      }
      return false;
    }
    throw unsupported(at, "in", value, in);
  }

  /**
   * A value as a script would write it; a value of more than {@link #MOST_SHOWN} characters is cut.
   */
  static String shown(Object value) {
    StringBuilder all = new StringBuilder();
    show(all, value, 0);
    return all.toString();
  }

  private static void show(StringBuilder all, Object value, int depth) {
    if (all.length() > MOST_SHOWN || depth > 64) {
      all.append(depth > 64 ? "..." : "");
    } else if (value instanceof String text) {
      all.append('"')
          .append(text.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n"))
          .append('"');
    } else if (value instanceof Boolean flag) {
      all.append(flag ? "True" : "False");
    } else if (sequence(value) != null) {
      boolean tuple = value instanceof Tuple;
      show(all.append(tuple ? '(' : '['), sequence(value), depth);
      all.append(tuple && sequence(value).size() == 1 ? ",)" : tuple ? ")" : "]");
    } else if (value instanceof Dict dict) {
      String before = "{";
      for (Map.Entry<Object, Object> one : dict.entrySet()) {
        show(all.append(before), one.getKey(), depth + 1);
        show(all.append(": "), one.getValue(), depth + 1);
        before = ", ";
      }
      all.append(dict.isEmpty() ? "{}" : "}");
    } else {
      all.append(value instanceof Function ? "<function>" : value.toString());
    }
  }

  private static void show(StringBuilder all, List<?> values, int depth) {
    String before = "";
    for (Object one : values) {
      show(all.append(before), one, depth + 1);
      before = ", ";
    }
  }

  static String text(Object value) {
    return value instanceof String text ? text : shown(value);
  }
}
