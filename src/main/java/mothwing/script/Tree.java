package mothwing.script;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import mothwing.script.Values.Dict;
import mothwing.script.Values.Items;
import mothwing.script.Values.Tuple;

/** The tree of a script, and its evaluation by walking it. */
final class Tree {
  /** How a statement ended. */
  enum Flow {
    NEXT,
    BREAK,
    CONTINUE,
    RETURN
  }

  /** The names in force: those of a function's call, or a file's; then those outside. */
  static final class Scope {
    private final Map<String, Object> names = new LinkedHashMap<>();
    private final Scope outer;
    private final Script script;
    private Object returned = Values.NONE;

    Scope(Scope outer, Script script) {
      this.outer = outer;
      this.script = script;
    }

    Map<String, Object> names() {
      return names;
    }

    Run run() {
      return script.run();
    }

    Object find(String name) {
      for (Scope one = this; one != null; one = one.outer) {
        Object value = one.names.get(name);
        if (value != null) {
          return value;
        }
      }
      return null;
    }

    void set(Place at, String name, Object value) throws ScriptError {
      if (script.builtin(name)) {
        throw new ScriptError(at, name + " is built in and cannot be given another value");
      }
      names.put(name, value);
    }
  }

  /** A statement. */
  interface Statement {
    Place at();

    Flow run(Scope scope) throws ScriptError;
  }

  /** An expression. */
  interface Expression {
    Place at();

    Object value(Scope scope) throws ScriptError;
  }

  /** What can stand left of an assignment. */
  interface Target {
    void set(Scope scope, Object value) throws ScriptError;
  }

  private Tree() {}

  static Flow all(List<Statement> statements, Scope scope) throws ScriptError {
    for (Statement one : statements) {
      scope.run().step(one.at());
      Flow flow = one.run(scope);
      if (flow != Flow.NEXT) {
        return flow;
      }
    }
    return Flow.NEXT;
  }

  private static Object value(Expression expression, Scope scope) throws ScriptError {
    scope.run().step(expression.at());
    return expression.value(scope);
  }

  private static List<Object> values(List<Expression> expressions, Scope scope) throws ScriptError {
    List<Object> all = new ArrayList<>(expressions.size());
    for (Expression one : expressions) {
      all.add(value(one, scope));
    }
    return all;
  }

  /** The target that an expression stands for, or null where it is none. */
  static Target target(Expression expression) {
    if (expression instanceof Variable name) {
      return (scope, value) -> scope.set(name.at, name.name, value);
    } else if (expression instanceof Index item) {
      return item::set;
    } else if (expression instanceof Sequence sequence && !sequence.parts.isEmpty()) {
      List<Target> targets = sequence.parts.stream().map(Tree::target).toList();
      return targets.contains(null)
          ? null
          : (scope, value) -> unpack(sequence.at, targets, scope, value);
    }
    return null;
  }

  private static void unpack(Place at, List<Target> targets, Scope scope, Object value)
      throws ScriptError {
    List<Object> parts = new ArrayList<>();
    for (Object one : Values.walk(at, value)) {
      parts.add(one);
    }
    Values.walked(value);
    if (parts.size() != targets.size()) {
      throw new ScriptError(at, parts.size() + " values for " + targets.size() + " names");
    }
    for (int i = 0; i < parts.size(); i++) {
      targets.get(i).set(scope, parts.get(i));
    }
  }

  record Evaluate(Place at, Expression of) implements Statement {
    @Override
    public Flow run(Scope scope) throws ScriptError {
      Tree.value(of, scope);
      return Flow.NEXT;
    }
  }

  record Assign(Place at, Target target, Expression of) implements Statement {
    @Override
    public Flow run(Scope scope) throws ScriptError {
      target.set(scope, Tree.value(of, scope));
      return Flow.NEXT;
    }
  }

  record Leave(Place at, Flow flow) implements Statement {
    @Override
    public Flow run(Scope scope) {
      return flow;
    }
  }

  record Return(Place at, Expression of) implements Statement {
    @Override
    public Flow run(Scope scope) throws ScriptError {
      scope.returned = of == null ? Values.NONE : Tree.value(of, scope);
      return Flow.RETURN;
    }
  }

  record If(Place at, Expression condition, List<Statement> then, List<Statement> otherwise)
      implements Statement {
    @Override
    public Flow run(Scope scope) throws ScriptError {
      return all(Values.truth(Tree.value(condition, scope)) ? then : otherwise, scope);
    }
  }

  record For(Place at, Target target, Expression over, List<Statement> body) implements Statement {
    @Override
    public Flow run(Scope scope) throws ScriptError {
      Object through = Tree.value(over, scope);
      try {
        for (Object one : Values.walk(at, through)) {
          scope.run().step(at);
          target.set(scope, one);
          Flow flow = all(body, scope);
          if (flow == Flow.BREAK) {
            break;
          } else if (flow == Flow.RETURN) {
            return flow;
          }
        }
      } finally {
        Values.walked(through);
      }
      return Flow.NEXT;
    }
  }

  record Load(Place at, String file, Set<String> wanted) implements Statement {
    @Override
    public Flow run(Scope scope) throws ScriptError {
      Map<String, Object> loaded = scope.script.load(at, file);
      for (String name : wanted) {
        if (!loaded.containsKey(name)) {
          throw new ScriptError(at, file + " has no name " + name);
        }
        scope.set(at, name, loaded.get(name));
      }
      return Flow.NEXT;
    }
  }

  record Define(
      Place at,
      String name,
      List<String> parameters,
      List<Expression> defaults,
      List<Statement> body)
      implements Statement {
    @Override
    public Flow run(Scope scope) throws ScriptError {
      List<Object> usual = new ArrayList<>();
      for (Expression one : defaults) {
        usual.add(one == null ? null : Tree.value(one, scope));
      }
      scope.set(
          at,
          name,
          (Values.Function)
              arguments -> {
                Scope inner = new Scope(scope, scope.script);
                for (int i = 0; i < parameters.size(); i++) {
                  inner.names.put(
                      parameters.get(i),
                      usual.get(i) == null
                          ? arguments.any(i, parameters.get(i))
                          : arguments.any(i, parameters.get(i), usual.get(i)));
                }
                arguments.done(parameters.size());
                all(body, inner);
                return inner.returned;
              });
      return Flow.NEXT;
    }
  }

  record Literal(Place at, Object literal) implements Expression {
    @Override
    public Object value(Scope scope) {
      return literal;
    }
  }

  record Variable(Place at, String name) implements Expression {
    @Override
    public Object value(Scope scope) throws ScriptError {
      Object value = scope.find(name);
      if (value == null) {
        throw new ScriptError(at, "name " + name + " is not known here");
      }
      return value;
    }
  }

  record Sequence(Place at, List<Expression> parts, boolean tuple) implements Expression {
    @Override
    public Object value(Scope scope) throws ScriptError {
      List<Object> all = values(parts, scope);
      scope.run().made(at, all.size());
      return tuple ? new Tuple(List.copyOf(all)) : new Items(all);
    }
  }

  record Pairs(Place at, List<Expression> keys, List<Expression> of) implements Expression {
    @Override
    public Object value(Scope scope) throws ScriptError {
      Dict all = new Dict();
      for (int i = 0; i < keys.size(); i++) {
        Object key = Values.key(scope.run(), keys.get(i).at(), Tree.value(keys.get(i), scope));
        if (all.put(key, Tree.value(of.get(i), scope)) != null) {
          throw new ScriptError(keys.get(i).at(), "key " + Values.shown(key) + " is given twice");
        }
      }
      scope.run().made(at, all.size());
      return all;
    }
  }

  /** A part of a comprehension: a loop, or where there is no target a condition. */
  record Clause(Target target, Expression of) {}

  record Comprehension(Place at, Expression first, Expression second, List<Clause> clauses)
      implements Expression {
    @Override
    public Object value(Scope scope) throws ScriptError {
      Object all = second == null ? new Items() : new Dict();
      fill(0, new Scope(scope, scope.script), all);
      return all;
    }

    private void fill(int from, Scope scope, Object into) throws ScriptError {
      scope.run().step(at);
      if (from == clauses.size()) {
        scope.run().made(at, 1);
        Object value = Tree.value(first, scope);
        if (into instanceof Items items) {
          items.add(value);
        } else {
          ((Dict) into).put(Values.key(scope.run(), at, value), Tree.value(second, scope));
        }
        return;
      }
      Clause clause = clauses.get(from);
      Object over = Tree.value(clause.of, scope);
      if (clause.target == null) {
        if (Values.truth(over)) {
          fill(from + 1, scope, into);
        }
        return;
      }
      try {
        for (Object one : Values.walk(clause.of.at(), over)) {
          clause.target.set(scope, one);
          fill(from + 1, scope, into);
        }
      } finally {
        Values.walked(over);
      }
    }
  }

  record Choice(Place at, Expression condition, Expression then, Expression otherwise)
      implements Expression {
    @Override
    public Object value(Scope scope) throws ScriptError {
      return Tree.value(Values.truth(Tree.value(condition, scope)) ? then : otherwise, scope);
    }
  }

  record Not(Place at, Expression of) implements Expression {
    @Override
    public Object value(Scope scope) throws ScriptError {
      return !Values.truth(Tree.value(of, scope));
    }
  }

  record Negate(Place at, String sign, Expression of) implements Expression {
    @Override
    public Object value(Scope scope) throws ScriptError {
      Object value = Tree.value(of, scope);
      if (!(value instanceof Long) && !(value instanceof Double)) {
        throw new ScriptError(at, "'" + sign + "' does not go with " + Values.typed(value));
      }
      return sign.equals("+") ? value : Values.binary(scope.run(), at, "*", value, -1L);
    }
  }

  record Binary(Place at, String operator, Expression left, Expression right)
      implements Expression {
    @Override
    public Object value(Scope scope) throws ScriptError {
      Object one = Tree.value(left, scope);
      if (operator.equals("and") || operator.equals("or")) {
        return Values.truth(one) == operator.equals("or") ? one : Tree.value(right, scope);
      }
      return Values.binary(scope.run(), at, operator, one, Tree.value(right, scope));
    }
  }

  record Attribute(Place at, Expression of, String name) implements Expression {
    @Override
    public Object value(Scope scope) throws ScriptError {
      return Methods.of(at, Tree.value(of, scope), name);
    }
  }

  record Call(
      Place at,
      Expression function,
      List<Expression> positional,
      List<String> names,
      List<Expression> named)
      implements Expression {
    @Override
    public Object value(Scope scope) throws ScriptError {
      Object called = Tree.value(function, scope);
      if (!(called instanceof Values.Function code)) {
        throw new ScriptError(at, Values.typed(called) + " cannot be called, expected a function");
      }
      Map<String, Object> byName = new LinkedHashMap<>();
      List<Object> inOrder = values(positional, scope);
      for (int i = 0; i < names.size(); i++) {
        byName.put(names.get(i), Tree.value(named.get(i), scope));
      }
      String word =
          function instanceof Variable variable
              ? variable.name
              : function instanceof Attribute attribute ? attribute.name : "function";
      scope.run().enter(at);
      Object result = code.call(new Arguments(word, at, inOrder, byName, scope.run()));
      scope.run().leave();
      return result;
    }
  }

  record Index(Place at, Expression of, Expression index) implements Expression {
    @Override
    public Object value(Scope scope) throws ScriptError {
      Object whole = Tree.value(of, scope);
      Object key = Tree.value(index, scope);
      if (whole instanceof Dict dict) {
        Object found = dict.get(Values.key(scope.run(), at, key));
        if (found == null) {
          throw new ScriptError(at, "the dict has no key " + Values.shown(key));
        }
        return found;
      } else if (whole instanceof String text) {
        int place = place(text.length(), key);
        return text.substring(place, place + 1);
      }
      List<Object> parts = parts(at, whole);
      return parts.get(place(parts.size(), key));
    }

    void set(Scope scope, Object value) throws ScriptError {
      Object whole = Tree.value(of, scope);
      Object key = Tree.value(index, scope);
      Values.changing(at, whole);
      scope.run().made(at, 1);
      if (whole instanceof Dict dict) {
        dict.put(Values.key(scope.run(), at, key), value);
      } else if (whole instanceof Items items) {
        items.set(place(items.size(), key), value);
      } else {
        throw new ScriptError(at, "items of " + Values.typed(whole) + " cannot be set");
      }
    }

    private int place(int size, Object key) throws ScriptError {
      if (!(key instanceof Long number)) {
        throw new ScriptError(at, "the index is " + Values.typed(key) + ", expected an int");
      }
      long place = number < 0 ? number + size : number;
      if (place < 0 || place >= size) {
        throw new ScriptError(at, "index " + number + " is outside 0 to " + (size - 1));
      }
      return (int) place;
    }
  }

  private static List<Object> parts(Place at, Object whole) throws ScriptError {
    if (whole instanceof Tuple tuple) {
      return tuple.parts();
    } else if (whole instanceof Items items) {
      return items;
    }
    throw new ScriptError(at, Values.typed(whole) + " has no items by index");
  }

  record Slice(Place at, Expression of, Expression from, Expression to, Expression step)
      implements Expression {
    @Override
    public Object value(Scope scope) throws ScriptError {
      Object whole = Tree.value(of, scope);
      int size = whole instanceof String text ? text.length() : parts(at, whole).size();
      long by = step == null ? 1 : bound(scope, step, 1, Long.MIN_VALUE, Long.MAX_VALUE);
      if (by == 0) {
        throw new ScriptError(at, "the step of a slice is 0");
      }
      by = Math.max(-size - 1L, Math.min(size + 1L, by));
      long first = bound(scope, from, by > 0 ? 0 : size - 1, size, by > 0 ? size : size - 1);
      long last = bound(scope, to, by > 0 ? size : -1 - (long) size, size, size);
      last = by < 0 && to == null ? -1 : last;
      Items taken = new Items();
      StringBuilder letters = new StringBuilder();
      for (long i = first; by > 0 ? i < last : i > last; i += by) {
        if (whole instanceof String text) {
          letters.append(text.charAt((int) i));
        } else {
          taken.add(parts(at, whole).get((int) i));
        }
      }
      scope.run().made(at, taken.size() + letters.length());
      return whole instanceof String
          ? letters.toString()
          : whole instanceof Tuple ? new Tuple(List.copyOf(taken)) : taken;
    }

    /** A bound of the slice; a negative one counts from the end. */
    private long bound(Scope scope, Expression given, long usual, long size, long most)
        throws ScriptError {
      Object value = given == null ? Values.NONE : Tree.value(given, scope);
      if (value == Values.NONE) {
        return usual;
      } else if (!(value instanceof Long number)) {
        throw new ScriptError(
            at, "a bound of the slice is " + Values.typed(value) + ", expected an int");
      } else if (size == Long.MIN_VALUE) {
        return number;
      } else {
        return Math.min(most, Math.max(number < 0 ? number + size : number, step == null ? 0 : -1));
      }
    }
  }
}
