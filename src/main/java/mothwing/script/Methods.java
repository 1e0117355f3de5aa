package mothwing.script;

import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import mothwing.script.Values.Dict;
import mothwing.script.Values.Function;
import mothwing.script.Values.Items;
import mothwing.script.Values.Tuple;

/**
 * What every script may call: the functions and methods of the Starlark specification that settings
 * have use for.
 */
final class Methods {
  private static final Map<String, Function> FUNCTIONS = new TreeMap<>();

  /** A method of a value. */
  private interface Method<T> {
    Object call(T self, Arguments arguments) throws ScriptError;
  }

  static {
    FUNCTIONS.put(
        "len",
        one ->
            switch (Values.type(one.any(0, "x"))) {
              case "string" -> (long) ((String) one.any(0, "x")).length();
              case "list" -> (long) ((List<?>) one.any(0, "x")).size();
              case "dict" -> (long) ((Dict) one.any(0, "x")).size();
              case "tuple" -> (long) ((Tuple) one.any(0, "x")).parts().size();
              default -> throw one.wrong(Values.typed(one.any(0, "x")) + " has no length");
            });
    FUNCTIONS.put("range", Methods::range);
    FUNCTIONS.put("str", one -> text(one, Values.text(one.any(0, "x"))));
    FUNCTIONS.put("repr", one -> text(one, Values.shown(one.any(0, "x"))));
    FUNCTIONS.put("type", one -> Values.type(one.any(0, "x")));
    FUNCTIONS.put("bool", one -> Values.truth(one.any(0, "x")));
    FUNCTIONS.put("int", Methods::whole);
    FUNCTIONS.put("float", Methods::real);
    FUNCTIONS.put(
        "list", one -> one.count() == 0 ? new Items() : Values.items(one, one.any(0, "x")));
    FUNCTIONS.put(
        "tuple",
        one ->
            new Tuple(
                one.count() == 0 ? List.of() : List.copyOf(Values.items(one, one.any(0, "x")))));
    FUNCTIONS.put(
        "reversed",
        one -> {
          Items all = Values.items(one, one.any(0, "x"));
          java.util.Collections.reverse(all);
          return all;
        });
    FUNCTIONS.put("sorted", Methods::sorted);
    FUNCTIONS.put("min", one -> extreme(one, -1));
    FUNCTIONS.put("max", one -> extreme(one, 1));
    FUNCTIONS.put(
        "any", one -> Values.items(one, one.any(0, "x")).stream().anyMatch(Values::truth));
    FUNCTIONS.put(
        "all", one -> Values.items(one, one.any(0, "x")).stream().allMatch(Values::truth));
    FUNCTIONS.put(
        "enumerate",
        one -> {
          Items pairs = new Items();
          long from = one.any(1, "start", (Object) 0L) instanceof Long start ? start : 0;
          for (Object item : Values.items(one, one.any(0, "x"))) {
            pairs.add(new Tuple(List.of(from + pairs.size(), item)));
          }
          return pairs;
        });
    FUNCTIONS.put(
        "zip",
        one -> {
          Items left = Values.items(one, one.any(0, "x"));
          Items right = Values.items(one, one.any(1, "y"));
          Items pairs = new Items();
          for (int i = 0; i < Math.min(left.size(), right.size()); i++) {
            pairs.add(new Tuple(List.of(left.get(i), right.get(i))));
          }
          return pairs;
        });
    FUNCTIONS.put(
        "fail",
        one -> {
          throw one.wrong(Values.text(one.any(0, "message")));
        });
  }

  private static final Map<String, Method<String>> STRINGS =
      Map.ofEntries(
          Map.entry("format", Methods::format),
          Map.entry(
              "join",
              (self, one) -> {
                Items parts = Values.items(one, one.any(0, "parts"));
                for (Object part : parts) {
                  if (!(part instanceof String)) {
                    throw one.wrong("an item is " + Values.typed(part) + ", expected a string");
                  }
                }
                String all = String.join(self, parts.stream().map(String.class::cast).toList());
                one.run().made(one.at(), all.length());
                return all;
              }),
          Map.entry(
              "split",
              (self, one) -> {
                Object by = one.any(0, "sep", Values.NONE);
                if (by.equals("")) {
                  throw one.wrong("the separator is empty");
                }
                List<String> parts =
                    by == Values.NONE
                        ? Arrays.stream(self.split("\\s+")).filter(word -> !word.isEmpty()).toList()
                        : Arrays.asList(
                            self.split(java.util.regex.Pattern.quote(Values.text(by)), -1));
                one.run().made(one.at(), self.length());
                return new Items(List.copyOf(parts));
              }),
          Map.entry("strip", (self, one) -> self.strip()),
          Map.entry("upper", (self, one) -> self.toUpperCase(Locale.ROOT)),
          Map.entry("lower", (self, one) -> self.toLowerCase(Locale.ROOT)),
          Map.entry("startswith", (self, one) -> self.startsWith(word(one, 0, "prefix"))),
          Map.entry("endswith", (self, one) -> self.endsWith(word(one, 0, "suffix"))),
          Map.entry("find", (self, one) -> (long) self.indexOf(word(one, 0, "sub"))),
          Map.entry(
              "count",
              (self, one) ->
                  word(one, 0, "sub").isEmpty()
                      ? self.length() + 1L
                      : (long)
                              self.split(java.util.regex.Pattern.quote(word(one, 0, "sub")), -1)
                                  .length
                          - 1),
          Map.entry(
              "isdigit",
              (self, one) -> !self.isEmpty() && self.chars().allMatch(Character::isDigit)),
          Map.entry(
              "replace",
              (self, one) -> {
                String from = word(one, 0, "old");
                String to = word(one, 1, "new");
                one.run().made(one.at(), Math.multiplyExact(self.length() + 1L, to.length() + 1L));
                return self.replace(from, to);
              }));

  private static final Map<String, Method<Items>> LISTS =
      Map.of(
          "append", (self, one) -> changed(self, one, () -> self.add(one.any(0, "x"))),
          "extend",
              (self, one) ->
                  changed(self, one, () -> self.addAll(Values.items(one, one.any(0, "x")))),
          "insert",
              (self, one) ->
                  changed(
                      self,
                      one,
                      () ->
                          self.add(
                              (int)
                                  Math.max(
                                      0,
                                      Math.min(self.size(), one.any(0, "i", Long.class, "an int"))),
                              one.any(1, "x"))),
          "remove", (self, one) -> changed(self, one, () -> self.remove(index(self, one))),
          "clear", (self, one) -> changed(self, one, self::clear),
          "index", (self, one) -> (long) index(self, one),
          "pop",
              (self, one) -> {
                Values.changing(one.at(), self);
                long at = one.any(0, "i", (Object) (self.size() - 1L)) instanceof Long i ? i : -1;
                if (at < 0 || at >= self.size()) {
                  throw one.wrong("index " + at + " is outside the list");
                }
                return self.remove((int) at);
              });

  private static final Map<String, Method<Dict>> DICTS =
      Map.of(
          "get",
              (self, one) ->
                  self.getOrDefault(
                      Values.key(one.run(), one.at(), one.any(0, "key")),
                      one.any(1, "default", Values.NONE)),
          "keys", (self, one) -> new Items(List.copyOf(self.keySet())),
          "values", (self, one) -> new Items(List.copyOf(self.values())),
          "items",
              (self, one) -> {
                Items pairs = new Items();
                self.forEach((key, value) -> pairs.add(new Tuple(List.of(key, value))));
                one.run().made(one.at(), pairs.size());
                return pairs;
              },
          "update",
              (self, one) ->
                  changed(self, one, () -> self.putAll(one.any(0, "other", Dict.class, "a dict"))),
          "setdefault",
              (self, one) -> {
                Values.changing(one.at(), self);
                Object usual = one.any(1, "default", Values.NONE);
                Object before =
                    self.putIfAbsent(Values.key(one.run(), one.at(), one.any(0, "key")), usual);
                return before == null ? usual : before;
              },
          "pop",
              (self, one) -> {
                Values.changing(one.at(), self);
                Object found = self.remove(Values.key(one.run(), one.at(), one.any(0, "key")));
                return found == null ? one.any(1, "default") : found;
              });

  /** A change of a list or dict. */
  private interface Change {
    void make() throws ScriptError;
  }

  private Methods() {}

  static Map<String, Function> functions() {
    return FUNCTIONS;
  }

  private static Object changed(Object self, Arguments one, Change change) throws ScriptError {
    Values.changing(one.at(), self);
    one.run().made(one.at(), 1);
    change.make();
    return Values.NONE;
  }

  private static int index(Items self, Arguments one) throws ScriptError {
    Object wanted = one.any(0, "x");
    for (int i = 0; i < self.size(); i++) {
      if (Values.same(one.run(), one.at(), self.get(i), wanted)) {
        return i;
      }
    }
    throw one.wrong(Values.shown(wanted) + " is not in the list");
  }

  private static String word(Arguments one, int index, String name) throws ScriptError {
    return one.any(index, name, String.class, "a string");
  }

  static Function of(Place at, Object self, String name) throws ScriptError {
    Function bound =
        self instanceof String text
            ? bound(STRINGS.get(name), text)
            : self instanceof Items items
                ? bound(LISTS.get(name), items)
                : self instanceof Dict dict ? bound(DICTS.get(name), dict) : null;
    if (bound == null) {
      throw new ScriptError(at, Values.typed(self) + " has no method " + name);
    }
    return bound;
  }

  private static <T> Function bound(Method<T> method, T self) {
    return method == null ? null : arguments -> method.call(self, arguments);
  }

  private static Object range(Arguments one) throws ScriptError {
    long first = one.any(0, "start", Long.class, "an int");
    boolean single = one.count() == 1;
    long from = single ? 0 : first;
    long to = single ? first : one.any(1, "stop", Long.class, "an int");
    long by = one.any(2, "step", (Object) 1L) instanceof Long step ? step : 0;
    if (by == 0) {
      throw one.wrong("the step is not an int other than 0");
    }
    long count =
        Math.max(
            0, -Math.floorDiv(Math.subtractExact(from, to), by)); // the span over the step, upwards
    one.run().made(one.at(), count);
    Items all = new Items();
    for (long i = 0; i < count; i++) {
      all.add(from + i * by);
    }
    return all;
  }

  private static String text(Arguments one, String shown) throws ScriptError {
    if (shown.length() > Values.MOST_SHOWN) {
      throw one.wrong("its text has more than " + Values.MOST_SHOWN + " characters");
    }
    one.run().made(one.at(), shown.length());
    return shown;
  }

  private static Object whole(Arguments one) throws ScriptError {
    Object value = one.any(0, "x");
    try {
      return value instanceof Long
          ? value
          : value instanceof Double real
              ? (Object) real.longValue()
              : value instanceof Boolean flag
                  ? (Object) (flag ? 1L : 0L)
                  : Long.valueOf(Values.text(value));
    } catch (NumberFormatException not) {
      throw one.wrong(Values.shown(value) + " is not a whole number");
    }
  }

  private static Object real(Arguments one) throws ScriptError {
    Object value = one.any(0, "x");
    try {
      return value instanceof Number number
          ? number.doubleValue()
          : Double.parseDouble(Values.text(value));
    } catch (NumberFormatException not) {
      throw one.wrong(Values.shown(value) + " is not a number");
    }
  }

  /** A comparison that failed inside a sort. */
  private static final class Incomparable extends RuntimeException {
    private static final long serialVersionUID = 1L;
    private final transient ScriptError error;

    Incomparable(ScriptError error) {
      super(error);
      this.error = error;
    }
  }

  private static Comparator<Object> order(Arguments one) {
    return (left, right) -> {
      try {
        return Values.compare(one.run(), one.at(), left, right);
      } catch (ScriptError not) {
        throw new Incomparable(not);
      }
    };
  }

  private static Object sorted(Arguments one) throws ScriptError {
    Items all = Values.items(one, one.any(0, "x"));
    boolean backward = Values.truth(one.any(1, "reverse", (Object) false));
    try {
      all.sort(backward ? order(one).reversed() : order(one));
    } catch (Incomparable mixed) {
      throw mixed.error;
    }
    return all;
  }

  private static Object extreme(Arguments one, int sign) throws ScriptError {
    Items all = new Items();
    if (one.count() == 1) {
      all = Values.items(one, one.any(0, "x"));
    } else {
      for (int i = 0; i < one.count(); i++) {
        all.add(one.any(i, "x"));
      }
    }
    if (all.isEmpty()) {
      throw one.wrong("there is nothing to choose from");
    }
    Object best = all.get(0);
    for (Object other : all) {
      best = Values.compare(one.run(), one.at(), other, best) * sign > 0 ? other : best;
    }
    return best;
  }

  private static Object format(String self, Arguments one) throws ScriptError {
    StringBuilder all = new StringBuilder();
    int next = 0;
    for (int i = 0; i < self.length(); i++) {
      char c = self.charAt(i);
      boolean doubled = i + 1 < self.length() && self.charAt(i + 1) == c;
      if ((c == '{' || c == '}') && doubled) {
        all.append(c);
        i++;
      } else if (c == '{') {
        int end = self.indexOf('}', i);
        if (end < 0) {
          throw one.wrong("{ is not closed");
        }
        String name = self.substring(i + 1, end);
        Object value =
            name.isEmpty()
                ? one.any(next++, "")
                : name.matches("[0-9]{1,3}")
                    ? one.any(Integer.parseInt(name), name)
                    : one.any(-1, name, Values.NONE);
        all.append(Values.text(value));
        i = end;
      } else if (c == '}') {
        throw one.wrong("} without {");
      } else {
        all.append(c);
      }
    }
    one.run().made(one.at(), all.length());
    return all.toString();
  }

  /** Formats as the % operator does: %s, %r, %d, %x and %%. */
  static String percent(Run run, Place at, String format, Object values) throws ScriptError {
    List<Object> parts = values instanceof Tuple tuple ? tuple.parts() : List.of(values);
    StringBuilder all = new StringBuilder();
    int next = 0;
    for (int i = 0; i < format.length(); i++) {
      char c = format.charAt(i);
      if (c != '%') {
        all.append(c);
        continue;
      }
      char kind = ++i < format.length() ? format.charAt(i) : ' ';
      if (kind == '%') {
        all.append('%');
        continue;
      }
      if (next == parts.size()) {
        throw new ScriptError(at, "the format asks for more than " + parts.size() + " values");
      }
      Object value = parts.get(next++);
      if (kind == 's') {
        all.append(Values.text(value));
      } else if (kind == 'r') {
        all.append(Values.shown(value));
      } else if ((kind == 'd' || kind == 'x') && value instanceof Long number) {
        all.append(kind == 'd' ? Long.toString(number) : Long.toHexString(number));
      } else {
        throw new ScriptError(at, "%" + kind + " does not go with " + Values.typed(value));
      }
    }
    if (next < parts.size()) {
      throw new ScriptError(at, "the format leaves " + (parts.size() - next) + " values over");
    }
    run.made(at, all.length());
    return all.toString();
  }
}
