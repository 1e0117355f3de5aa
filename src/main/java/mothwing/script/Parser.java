package mothwing.script;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import mothwing.script.Lexer.Kind;
import mothwing.script.Lexer.Token;

/**
 * Makes statements of tokens, by recursive descent along the grammar of the Starlark specification.
 */
final class Parser {
  private static final List<Set<String>> BINARY =
      List.of(
          Set.of("or"),
          Set.of("and"),
          Set.of("==", "!=", "<", ">", "<=", ">=", "in", "not in"),
          Set.of("+", "-"),
          Set.of("*", "/", "//", "%"));
  private static final int COMPARISON = 2;
  private static final int MOST_CHAINED =
      200; // operators of one level in a row: the tree leans that deep

  private final List<Token> tokens;
  private final int mostDepth;
  private int at;
  private int depth;
  private int functions;
  private int loops;

  private Parser(List<Token> tokens, int mostDepth) {
    this.tokens = tokens;
    this.mostDepth = mostDepth;
  }

  static List<Tree.Statement> parse(String file, String text, int mostDepth) throws ScriptError {
    Parser parser = new Parser(Lexer.read(file, text), mostDepth);
    List<Tree.Statement> all = new ArrayList<>();
    while (parser.peek().kind() != Kind.END) {
      parser.statement(all);
    }
    return all;
  }

  private Token peek() {
    return tokens.get(at);
  }

  private Token next() {
    return tokens.get(at++);
  }

  private boolean take(String word) {
    if (peek().is(word)) {
      at++;
      return true;
    }
    return false;
  }

  private Token expect(String word) throws ScriptError {
    if (!peek().is(word)) {
      throw unexpected("'" + word + "'");
    }
    return next();
  }

  private Token expect(Kind kind, String what) throws ScriptError {
    if (peek().kind() != kind) {
      throw unexpected(what);
    }
    return next();
  }

  private ScriptError unexpected(String wanted) {
    return new ScriptError(peek().at(), "found " + peek().shown() + ", expected " + wanted);
  }

  private void deeper() throws ScriptError {
    if (++depth > mostDepth) {
      throw new ScriptError(peek().at(), "nested more than " + mostDepth + " deep");
    }
  }

  private static void notChained(int count, Token here) throws ScriptError {
    if (count > MOST_CHAINED) {
      throw new ScriptError(here.at(), "more than " + MOST_CHAINED + " operators in a row");
    }
  }

  private void statement(List<Tree.Statement> into) throws ScriptError {
    deeper();
    Token first = peek();
    if (first.is("def")) {
      into.add(definition());
    } else if (first.is("if")) {
      next();
      into.add(branches(first.at()));
    } else if (first.is("for")) {
      next();
      Tree.Target target = target();
      expect("in");
      Tree.Expression over = expression();
      loops++;
      List<Tree.Statement> body = block();
      loops--;
      into.add(new Tree.For(first.at(), target, over, body));
    } else {
      into.add(simple(first));
      expect(Kind.NEWLINE, "end of line");
    }
    depth--;
  }

  private Tree.Statement branches(Place where) throws ScriptError {
    Tree.Expression condition = expression();
    List<Tree.Statement> then = block();
    List<Tree.Statement> otherwise = List.of();
    Place next = peek().at();
    if (take("elif")) {
      deeper();
      otherwise = List.of(branches(next));
      depth--;
    } else if (take("else")) {
      otherwise = block();
    }
    return new Tree.If(where, condition, then, otherwise);
  }

  private Tree.Statement definition() throws ScriptError {
    Place where = next().at();
    String name = expect(Kind.NAME, "a function's name").text();
    expect("(");
    List<String> names = new ArrayList<>();
    List<Tree.Expression> defaults = new ArrayList<>();
    while (!take(")")) {
      Token parameter = expect(Kind.NAME, "a parameter's name or ')'");
      if (names.contains(parameter.text())) {
        throw new ScriptError(parameter.at(), "parameter " + parameter.text() + " is given twice");
      }
      names.add(parameter.text());
      if (take("=")) {
        defaults.add(expression());
      } else if (!defaults.isEmpty() && defaults.get(defaults.size() - 1) != null) {
        throw new ScriptError(
            parameter.at(),
            "parameter " + parameter.text() + " needs a default, as the one before it has one");
      } else {
        defaults.add(null);
      }
      if (!peek().is(")")) {
        expect(",");
      }
    }
    int outer = loops;
    loops = 0;
    functions++;
    List<Tree.Statement> body = block();
    functions--;
    loops = outer;
    return new Tree.Define(where, name, names, defaults, body);
  }

  private List<Tree.Statement> block() throws ScriptError {
    expect(":");
    List<Tree.Statement> body = new ArrayList<>();
    if (peek().kind() != Kind.NEWLINE) {
      body.add(simple(peek()));
      expect(Kind.NEWLINE, "end of line");
      return body;
    }
    next();
    expect(Kind.INDENT, "an indented block");
    while (peek().kind() != Kind.DEDENT) {
      statement(body);
    }
    next();
    return body;
  }

  private Tree.Statement simple(Token first) throws ScriptError {
    if (take("pass")) {
      return new Tree.Leave(first.at(), Tree.Flow.NEXT);
    }
    if (first.is("break") || first.is("continue")) {
      next();
      if (loops == 0) {
        throw new ScriptError(first.at(), "'" + first.text() + "' outside a loop");
      }
      return new Tree.Leave(first.at(), first.is("break") ? Tree.Flow.BREAK : Tree.Flow.CONTINUE);
    }
    if (take("return")) {
      if (functions == 0) {
        throw new ScriptError(first.at(), "'return' outside a function");
      }
      return new Tree.Return(first.at(), peek().kind() == Kind.NEWLINE ? null : expressions());
    }
    if (take("load")) {
      return load(first.at());
    }
    Tree.Expression left = expressions();
    Token operator = peek();
    if (take("=")) {
      Tree.Target target = Tree.target(left);
      if (target == null) {
        throw new ScriptError(left.at(), "cannot assign to this, expected a name or an item");
      }
      return new Tree.Assign(first.at(), target, expressions());
    }
    if (operator.kind() == Kind.OPERATOR
        && operator.text().length() > 1
        && operator.text().endsWith("=")
        && !Set.of("==", "!=", "<=", ">=").contains(operator.text())) {
      next();
      Tree.Target target = Tree.target(left);
      if (target == null || left instanceof Tree.Sequence) {
        throw new ScriptError(left.at(), "cannot assign to this, expected a name or an item");
      }
      String binary = operator.text().substring(0, operator.text().length() - 1);
      return new Tree.Assign(
          first.at(), target, new Tree.Binary(operator.at(), binary, left, expression()));
    }
    return new Tree.Evaluate(first.at(), left);
  }

  private Tree.Statement load(Place where) throws ScriptError {
    expect("(");
    Token file = expect(Kind.STRING, "the name of a file");
    Set<String> names = new LinkedHashSet<>();
    while (take(",") && !peek().is(")")) {
      Token name = expect(Kind.STRING, "a name to load, as a string");
      if (((String) name.value()).startsWith("_")) {
        throw new ScriptError(name.at(), "names that begin with _ belong to their file alone");
      }
      names.add((String) name.value());
    }
    expect(")");
    if (functions > 0 || loops > 0) {
      throw new ScriptError(where, "'load' belongs at the top of a file");
    }
    return new Tree.Load(where, (String) file.value(), names);
  }

  private Tree.Target target() throws ScriptError {
    Place where = peek().at();
    List<Tree.Expression> parts = new ArrayList<>();
    boolean comma = false;
    do {
      parts.add(primary());
      comma = take(",");
    } while (comma && !peek().is("in"));
    Tree.Expression whole =
        parts.size() == 1 && !comma ? parts.get(0) : new Tree.Sequence(where, parts, true);
    Tree.Target target = Tree.target(whole);
    if (target == null) {
      throw new ScriptError(where, "cannot assign to this, expected names");
    }
    return target;
  }

  /** One expression, or a tuple without brackets. */
  private Tree.Expression expressions() throws ScriptError {
    Tree.Expression first = expression();
    if (!peek().is(",")) {
      return first;
    }
    List<Tree.Expression> parts = new ArrayList<>(List.of(first));
    while (take(",") && peek().kind() != Kind.NEWLINE && !peek().is("=") && !peek().is(")")) {
      parts.add(expression());
    }
    return new Tree.Sequence(first.at(), parts, true);
  }

  private Tree.Expression expression() throws ScriptError {
    deeper();
    Tree.Expression value = binary(0);
    if (peek().is("if")) {
      Place where = next().at();
      Tree.Expression condition = binary(0);
      expect("else");
      value = new Tree.Choice(where, condition, value, expression());
    }
    depth--;
    return value;
  }

  private Tree.Expression binary(int level) throws ScriptError {
    if (level == BINARY.size()) {
      return unary();
    }
    if (level == COMPARISON && peek().is("not")) {
      Place where = next().at();
      deeper();
      Tree.Expression inner = binary(COMPARISON);
      depth--;
      return new Tree.Not(where, inner);
    }
    Tree.Expression left = binary(level + 1);
    int chained = 0;
    while (true) {
      Token operator = peek();
      String word = operator.text();
      if (operator.is("not") && tokens.get(at + 1).is("in")) {
        word = "not in";
      }
      if ((operator.kind() != Kind.OPERATOR && operator.kind() != Kind.KEYWORD)
          || !BINARY.get(level).contains(word)) {
        return left;
      }
      chained++;
      if (level == COMPARISON && chained > 1) {
        throw new ScriptError(operator.at(), "comparisons cannot be chained, join them with 'and'");
      }
      notChained(chained, operator);
      at += word.equals("not in") ? 2 : 1;
      left = new Tree.Binary(operator.at(), word, left, binary(level + 1));
    }
  }

  private Tree.Expression unary() throws ScriptError {
    Token sign = peek();
    if (take("-") || take("+")) {
      deeper();
      Tree.Expression of = unary();
      depth--;
      return new Tree.Negate(sign.at(), sign.text(), of);
    }
    return primary();
  }

  private Tree.Expression primary() throws ScriptError {
    Tree.Expression value = operand();
    for (int chained = 0; ; chained++) {
      notChained(chained, peek());
      Place where = peek().at();
      if (take(".")) {
        value = new Tree.Attribute(where, value, expect(Kind.NAME, "a method's name").text());
      } else if (take("(")) {
        value = call(value);
      } else if (take("[")) {
        value = index(where, value);
      } else {
        return value;
      }
    }
  }

  private Tree.Expression call(Tree.Expression function) throws ScriptError {
    List<Tree.Expression> positional = new ArrayList<>();
    List<String> names = new ArrayList<>();
    List<Tree.Expression> named = new ArrayList<>();
    while (!take(")")) {
      Token first = peek();
      if (first.kind() == Kind.NAME && tokens.get(at + 1).is("=")) {
        at += 2;
        if (names.contains(first.text())) {
          throw new ScriptError(first.at(), "argument " + first.text() + " is given twice");
        }
        names.add(first.text());
        named.add(expression());
      } else if (!names.isEmpty()) {
        throw new ScriptError(
            first.at(), "an argument without a name stands after one with a name");
      } else {
        Tree.Expression value = expression();
        positional.add(peek().is("for") ? comprehension(value.at(), value, null, false) : value);
      }
      if (!peek().is(")")) {
        if (!peek().is(",")) {
          throw unexpected("',' or ')'");
        }
        next();
      }
    }
    return new Tree.Call(function.at(), function, positional, names, named);
  }

  private Tree.Expression index(Place where, Tree.Expression of) throws ScriptError {
    Tree.Expression from = peek().is(":") ? null : expression();
    if (!take(":")) {
      expect("]");
      return new Tree.Index(where, of, from);
    }
    Tree.Expression to = peek().is("]") || peek().is(":") ? null : expression();
    Tree.Expression step = take(":") && !peek().is("]") ? expression() : null;
    expect("]");
    return new Tree.Slice(where, of, from, to, step);
  }

  private Tree.Expression operand() throws ScriptError {
    Token first = peek();
    switch (first.kind()) {
      case INTEGER, FLOAT -> {
        next();
        return new Tree.Literal(first.at(), first.value());
      }
      case STRING -> {
        StringBuilder text = new StringBuilder();
        while (peek().kind() == Kind.STRING) {
          text.append((String) next().value());
        }
        return new Tree.Literal(first.at(), text.toString());
      }
      case NAME -> {
        next();
        return new Tree.Variable(first.at(), first.text());
      }
      default -> {
        if (take("True") || take("False")) {
          return new Tree.Literal(first.at(), first.is("True"));
        }
        if (take("None")) {
          return new Tree.Literal(first.at(), Values.NONE);
        }
        if (take("(")) {
          return brackets(first.at());
        }
        if (take("[")) {
          return list(first.at());
        }
        if (take("{")) {
          return dict(first.at());
        }
        throw unexpected("a value");
      }
    }
  }

  private Tree.Expression brackets(Place where) throws ScriptError {
    if (take(")")) {
      return new Tree.Sequence(where, List.of(), true);
    }
    Tree.Expression inner = expressions();
    expect(")");
    return inner;
  }

  private Tree.Expression list(Place where) throws ScriptError {
    List<Tree.Expression> parts = new ArrayList<>();
    while (!take("]")) {
      parts.add(expression());
      if (parts.size() == 1 && peek().is("for")) {
        Tree.Expression made = comprehension(where, parts.get(0), null, false);
        expect("]");
        return made;
      }
      if (!peek().is("]") && !take(",")) {
        throw unexpected("',' or ']'");
      }
    }
    return new Tree.Sequence(where, parts, false);
  }

  private Tree.Expression dict(Place where) throws ScriptError {
    List<Tree.Expression> keys = new ArrayList<>();
    List<Tree.Expression> values = new ArrayList<>();
    while (!take("}")) {
      keys.add(expression());
      expect(":");
      values.add(expression());
      if (keys.size() == 1 && peek().is("for")) {
        Tree.Expression made = comprehension(where, keys.get(0), values.get(0), true);
        expect("}");
        return made;
      }
      if (!peek().is("}") && !take(",")) {
        throw unexpected("',' or '}'");
      }
    }
    return new Tree.Pairs(where, keys, values);
  }

  private Tree.Expression comprehension(
      Place where, Tree.Expression first, Tree.Expression second, boolean dict) throws ScriptError {
    List<Tree.Clause> clauses = new ArrayList<>();
    while (peek().is("for") || peek().is("if")) {
      if (take("if")) {
        clauses.add(new Tree.Clause(null, binary(0)));
      } else {
        next();
        Tree.Target target = target();
        expect("in");
        clauses.add(new Tree.Clause(target, binary(0)));
      }
    }
    return new Tree.Comprehension(where, first, dict ? second : null, clauses);
  }
}
