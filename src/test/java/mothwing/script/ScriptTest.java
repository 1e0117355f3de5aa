package mothwing.script;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The language of settings: what it computes, where it stops, and what it says of mistakes. */
class ScriptTest {
  private static final Limits SMALL = new Limits(20_000, 20, 20_000, 4096, 4);

  private static Map<String, Object> run(Map<String, String> files) throws ScriptError {
    return Script.run(
        "main",
        (name, most) -> {
          if (!files.containsKey(name)) {
            throw new IOException("no such file: " + name);
          }
          return files.get(name);
        },
        SMALL,
        Map.of());
  }

  private static String value(String script) throws ScriptError {
    return Values.shown(run(Map.of("main", script)).get("x"));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "x = [a * b for a in [1, 2] for b in [3, 4] if a + b != 5] | [3, 8]",
        "x = {k: v for k, v in [('a', 1), ('b', 2)]} | {\"a\": 1, \"b\": 2}",
        "x = 'n{}-{room}.{1}'.format('a', 'b', room = 7) | \"na-7.b\"",
        "x = '%s:%d/%x' % ('h', 80, 255) | \"h:80/ff\"",
        "x = [1, 2, 3, 4][1:-1] + [5][::-1] | [2, 3, 5]",
        "x = 'abcdef'[::2] + 'abc'[-1] | \"acec\"",
        "x = -7 // 2, -7 % 3, 7 / 2, 2 * 3 + 1 | (-4, 2, 3.5, 7)",
        "x = 'yes' if 3 not in [1, 2] and not False else 'no' | \"yes\"",
        "x = sorted([3, 1, 2], reverse = True) + list(range(5, 0, -2)) | [3, 2, 1, 5, 3, 1]",
        "x = max(1, 3, 2), min([2, 1]), len({'a': 1}), str([1, 'a']) | (3, 1, 1, \"[1, \\\"a\\\"]\")",
        "x = ','.join([s.strip().upper() for s in ' a, b'.split(',')]) | \"A,B\"",
        "x = [(i, s) for i, s in enumerate(['a', 'b'], start = 1)] | [(1, \"a\"), (2, \"b\")]",
        "x = {}.get('a', 'none') + r'\\n' + \"\"\"q\"\"\" | \"none\\\\nq\"",
        "x = 0x1F + int('5') + int(2.9) | 38",
        "x = [1] < [1, 2], 'a' == 'a', 1 == 1.0, (1,) != (2,) | (True, True, True, True)"
      })
  void computes(String script, String expected) throws ScriptError {
    assertEquals(expected, value(script));
  }

  @Test
  void runsFunctionsLoopsAndLoads() throws ScriptError {
    String main =
        """
                load("rooms", "rooms", "host")
                x = []
                for room in rooms:
                    for n in range(4):
                        if n == 1: continue
                        if n == 3:
                            break
                        elif n > 1:
                            x.append(host(room, number = n))
                        else:
                            x += [host(room)]
                """;
    String rooms =
        """
                rooms = ["nasr-city", "sixth-october"]
                def host(room, number = 0, *, top = 1):
                    return room
                """
                .replace(", *, top = 1", "")
            + "    pass\n";
    assertEquals(
        "[\"nasr-city\", \"nasr-city\", \"sixth-october\", \"sixth-october\"]",
        Values.shown(run(Map.of("main", main, "rooms", rooms)).get("x")));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "x = 1\\ny = x +| main:2:8: found end of line, expected a value",
        "x = [1, 2| main:1:10: found end of line, expected ',' or ']'",
        "if True:\\nx = 1| main:2:1: found 'x', expected an indented block",
        "x = 'open| main:1:5: string is not closed, expected '",
        "x = 1 + 'a'| main:1:7: '+' does not go with an int and a string",
        "def f(a):\\n  return a\\nx = f()| main:3:5: f: argument a is missing",
        "def f(a):\\n  return a\\nx = f(1, b = 2)| main:3:5: f: unknown argument b",
        "x = nothing| main:1:5: name nothing is not known here",
        "x = {'a': 1}['b']| main:1:13: the dict has no key \"b\"",
        "len = 3| main:1:1: len is built in and cannot be given another value",
        "x = 1 < 2 < 3| main:1:11: comparisons cannot be chained, join them with 'and'",
        "x = 9223372036854775807 + 1| main:1:25: the result has more than 64 bits",
        "x = [0]\\nfor a in x:\\n  x.append(a)| main:3:4: this list cannot be changed: a loop walks through it",
        "while True: pass| main:1:1: 'while' is a reserved word and cannot be used",
        "x = 1 \u00a7 2| main:1:7: character '\u00a7' has no meaning here",
        "load('other', 'y')| main:1:1: cannot load: no such file: other",
        "load('main', 'y')| main:1:1: main loads itself, by way of main",
        "fail('no room for ' + str(3))| main:1:1: fail: no room for 3"
      })
  void saysWhereAMistakeIs(String script, String message) {
    ScriptError error = assertThrows(ScriptError.class, () -> value(script.replace("\\n", "\n")));
    assertEquals(message, error.getMessage());
  }

  @Test
  void whatIsLoadedCannotBeChanged() {
    ScriptError error =
        assertThrows(
            ScriptError.class,
            () -> run(Map.of("main", "load('a', 'y')\ny['k'].append(2)", "a", "y = {'k': [1]}")));
    assertEquals(
        "main:2:7: this list cannot be changed: it was loaded from another file",
        error.getMessage());
  }

  /**
   * Each of these would run away without its limit: time, memory, depth, or what looks small and is
   * not.
   */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "for a in range(9000):\\n  for b in range(9000):\\n    x = 1| takes more than 20000 steps",
        "x = 'a' * 1000000000000| makes more than 20000 items",
        "x = ['a']\\nfor i in range(60):\\n  x = x + x| makes more than 20000 items",
        "def f(a):\\n  return f(a + 1)\\nx = f(0)| more than 20 deep",
        "x = [0]\\nfor i in range(60):\\n  x = [x, x]\\ny = str(x)| its text has more than",
        "x = [0]\\ny = [0]\\nfor i in range(60):\\n  x = [x, x]\\n  y = [y, y]\\nz = x == y| takes more than",
        "x = [range(i) for i in range(9000)]| makes more than 20000 items",
        "x = 'a'.replace('', 'b' * 9000).replace('b', 'c' * 9000)| makes more than 20000 items",
        "x = [1][::9223372036854775807]\\ny = range(-9223372036854775807, 9223372036854775807)| more than 64 bits"
      })
  void stopsAtItsLimits(String script, String message) {
    ScriptError error = assertThrows(ScriptError.class, () -> value(script.replace("\\n", "\n")));
    assertTrue(error.getMessage().contains(message), error::getMessage);
    assertTrue(error.getMessage().startsWith("main:"), error::getMessage);
  }

  /** What is nested too deep to parse is a plain error as well, however it is nested. */
  @Test
  void stopsAtDepth() {
    for (String part :
        List.of("(", "[", "not ", "-", "f(", "{1: ", "a if b else ", "1 + ", "a.b", "x[0]")) {
      String script = "x = " + part.repeat(4000 / part.length());
      assertTrue(
          assertThrows(ScriptError.class, () -> value(script)).getMessage().startsWith("main:1:"));
    }
    assertTrue(
        assertThrows(ScriptError.class, () -> value("if a: pass\n" + "elif a: pass\n".repeat(300)))
            .getMessage()
            .contains("deep"));
  }

  /**
   * Random cuts and splices of a good script end in values or in an error with its place, nothing
   * else.
   */
  @Property(seed = "1764576024", tries = 400)
  void garbledScriptsAreErrorsWithAPlace(@ForAll long seed) {
    Random random = new Random(seed);
    String good =
        "def f(a, b = [1]):\n  for i, c in enumerate(a):\n    if c in b and not i: return {c: (i, 'x')}\n"
            + "  return [c % 3 for c in b if c]\nx = f(range(3), b = [2])\ny = 'a{}'.format(x)[0:2] + str(1.5)\n";
    List<String> pieces = new ArrayList<>(List.of(good.split("(?<=[ ,:()\\[\\]\n])")));
    for (int i = 0; i < 1 + random.nextInt(4); i++) {
      int from = random.nextInt(pieces.size());
      switch (random.nextInt(3)) {
        case 0 -> pieces.remove(from);
        case 1 -> pieces.add(from, pieces.get(random.nextInt(pieces.size())));
        default -> pieces.set(from, String.valueOf((char) random.nextInt(128)));
      }
    }
    try {
      Map<String, Object> names = run(Map.of("main", String.join("", pieces)));
      assertEquals(names.toString().length() > 0, true);
    } catch (ScriptError error) {
      assertTrue(error.getMessage().matches("(?s)main:[0-9]+:[0-9]+: .+"), error::getMessage);
    }
  }
}
