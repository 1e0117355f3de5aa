package mothwing.script;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Set;

/**
 * Cuts a script into tokens; blocks are marked by indentation, as in the Starlark specification's
 * "Lexical elements".
 */
final class Lexer {
  /** Kinds of tokens. */
  enum Kind {
    NAME,
    KEYWORD,
    INTEGER,
    FLOAT,
    STRING,
    OPERATOR,
    NEWLINE,
    INDENT,
    DEDENT,
    END
  }

  /** One token; {@code value} is the number or the text of a string. */
  record Token(Kind kind, String text, Object value, Place at) {
    boolean is(String word) {
      return (kind == Kind.OPERATOR || kind == Kind.KEYWORD) && text.equals(word);
    }

    String shown() {
      return switch (kind) {
        case NEWLINE -> "end of line";
        case INDENT -> "deeper indentation";
        case DEDENT -> "end of block";
        case END -> "end of file";
        case STRING -> "a string";
        default -> "'" + text + "'";
      };
    }
  }

  private static final Set<String> KEYWORDS =
      Set.of(
          "and",
          "break",
          "continue",
          "def",
          "elif",
          "else",
          "for",
          "if",
          "in",
          "load",
          "not",
          "or",
          "pass",
          "return",
          "True",
          "False",
          "None");

  /** Reserved by the specification, so that a later version may use them. */
  private static final Set<String> RESERVED =
      Set.of(
          "as",
          "assert",
          "class",
          "del",
          "except",
          "finally",
          "from",
          "global",
          "import",
          "is",
          "lambda",
          "nonlocal",
          "raise",
          "try",
          "while",
          "with",
          "yield");

  private static final String[] OPERATORS = {
    "//=", "==", "!=", "<=", ">=", "//", "+=", "-=", "*=", "/=", "%=", "**", "+", "-", "*", "/",
    "%", "<", ">", "=", "(", ")", "[", "]", "{", "}", ",", ":", "."
  };

  private final String file;
  private final String text;
  private final List<Token> tokens = new ArrayList<>();
  private final Deque<Integer> indents = new ArrayDeque<>(List.of(0));
  private int at;
  private int line = 1;
  private int lineStart;
  private int brackets;

  private Lexer(String file, String text) {
    this.file = file;
    this.text = text.replace("\r\n", "\n");
  }

  static List<Token> read(String file, String text) throws ScriptError {
    Lexer lexer = new Lexer(file, text);
    lexer.all();
    return lexer.tokens;
  }

  private Place here() {
    return new Place(file, line, at - lineStart + 1);
  }

  private char peek() {
    return at < text.length() ? text.charAt(at) : '\0';
  }

  private void add(Kind kind, String word, Object value, Place where) {
    tokens.add(new Token(kind, word, value, where));
  }

  private void newLine() {
    at++;
    line++;
    lineStart = at;
  }

  private void all() throws ScriptError {
    boolean fresh = true;
    while (at < text.length()) {
      if (fresh && brackets == 0) {
        fresh = !indentation();
        continue;
      }
      char c = peek();
      if (c == '\n') {
        if (brackets == 0) {
          add(Kind.NEWLINE, "", null, here());
          fresh = true;
        }
        newLine();
      } else if (c == ' ' || c == '\t') {
        at++;
      } else if (c == '#') {
        comment();
      } else if (c == '\\' && at + 1 < text.length() && text.charAt(at + 1) == '\n') {
        at++;
        newLine();
      } else {
        token(c);
      }
    }
    if (!fresh) {
      add(Kind.NEWLINE, "", null, here());
    }
    for (; indents.peek() > 0; indents.pop()) {
      add(Kind.DEDENT, "", null, here());
    }
    add(Kind.END, "", null, here());
  }

  private void comment() {
    while (at < text.length() && peek() != '\n') {
      at++;
    }
  }

  /** Reads a line's indentation; says whether the line has code. */
  private boolean indentation() throws ScriptError {
    int width = 0;
    for (; peek() == ' ' || peek() == '\t'; at++) {
      if (peek() == '\t') {
        throw new ScriptError(here(), "tab in indentation, expected spaces");
      }
      width++;
    }
    if (peek() == '#') {
      comment();
    }
    if (at >= text.length()) {
      return false;
    }
    if (peek() == '\n') {
      newLine();
      return false;
    }
    if (width > indents.peek()) {
      indents.push(width);
      add(Kind.INDENT, "", null, here());
    }
    for (; width < indents.peek(); indents.pop()) {
      add(Kind.DEDENT, "", null, here());
    }
    if (width != indents.peek()) {
      throw new ScriptError(
          here(), "indentation of " + width + " matches no block, expected " + indents.peek());
    }
    return true;
  }

  private void token(char c) throws ScriptError {
    Place where = here();
    int from = at;
    if (Character.isDigit(c)
        || (c == '.' && at + 1 < text.length() && Character.isDigit(text.charAt(at + 1)))) {
      number(where);
    } else if (c == '"' || c == '\'') {
      string(c, false, where);
    } else if (c == 'r'
        && at + 1 < text.length()
        && (text.charAt(at + 1) == '"' || text.charAt(at + 1) == '\'')) {
      at++;
      string(peek(), true, where);
    } else if (c == '_' || Character.isLetter(c)) {
      while (peek() == '_' || Character.isLetterOrDigit(peek())) {
        at++;
      }
      String word = text.substring(from, at);
      if (RESERVED.contains(word)) {
        throw new ScriptError(where, "'" + word + "' is a reserved word and cannot be used");
      }
      add(KEYWORDS.contains(word) ? Kind.KEYWORD : Kind.NAME, word, null, where);
    } else {
      operator(c, where);
    }
  }

  private void operator(char c, Place where) throws ScriptError {
    for (String one : OPERATORS) {
      if (text.startsWith(one, at)) {
        at += one.length();
        if ("([{".contains(one)) {
          brackets++;
        } else if (")]}".contains(one)) {
          brackets = Math.max(0, brackets - 1);
        }
        add(Kind.OPERATOR, one, null, where);
        return;
      }
    }
    throw new ScriptError(where, "character '" + c + "' has no meaning here");
  }

  private void number(Place where) throws ScriptError {
    int from = at;
    while (Character.isLetterOrDigit(peek())
        || peek() == '.'
        || peek() == '_'
        || ((peek() == '-' || peek() == '+')
            && "eE".indexOf(text.charAt(at - 1)) >= 0
            && !text.startsWith("0x", from))) {
      at++;
    }
    String word = text.substring(from, at);
    try {
      if (word.matches("0[xX][0-9a-fA-F]+")) {
        add(Kind.INTEGER, word, Long.parseLong(word.substring(2), 16), where);
      } else if (word.matches("[0-9]+")) {
        add(Kind.INTEGER, word, Long.parseLong(word), where);
      } else if (word.matches("[0-9]*\\.?[0-9]*([eE][-+]?[0-9]+)?")) {
        add(Kind.FLOAT, word, Double.parseDouble(word), where);
      } else {
        throw new NumberFormatException(word);
      }
    } catch (NumberFormatException bad) {
      throw new ScriptError(where, "'" + word + "' is not a number of up to 64 bits");
    }
  }

  private void string(char quote, boolean raw, Place where) throws ScriptError {
    String triple = String.valueOf(quote).repeat(3);
    boolean longForm = text.startsWith(triple, at);
    String end = longForm ? triple : String.valueOf(quote);
    at += end.length();
    StringBuilder value = new StringBuilder();
    while (!text.startsWith(end, at)) {
      if (at >= text.length() || (peek() == '\n' && !longForm)) {
        throw new ScriptError(where, "string is not closed, expected " + end);
      }
      if (peek() == '\\' && at + 1 < text.length()) {
        escape(raw, value);
      } else if (peek() == '\n') {
        value.append('\n');
        newLine();
      } else {
        value.append(peek());
        at++;
      }
    }
    at += end.length();
    add(Kind.STRING, "", value.toString(), where);
  }

  private void escape(boolean raw, StringBuilder value) throws ScriptError {
    char c = text.charAt(at + 1);
    int known = "nrt\\\"'".indexOf(c);
    if (raw) {
      value.append('\\').append(c);
    } else if (known >= 0) {
      value.append("\n\r\t\\\"'".charAt(known));
    } else if (c != '\n') {
      throw new ScriptError(
          here(), "unknown escape \\" + c + ", expected one of \\n \\r \\t \\\\ \\\" \\'");
    }
    if (c == '\n') {
      at++;
      newLine();
    } else {
      at += 2;
    }
  }
}
