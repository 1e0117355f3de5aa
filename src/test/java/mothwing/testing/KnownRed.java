package mothwing.testing;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.reflect.Method;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtensionContext;
import org.junit.jupiter.api.extension.InvocationInterceptor;
import org.junit.jupiter.api.extension.ReflectiveInvocationContext;
import org.opentest4j.TestAbortedException;

/**
 * Reports the failing tests listed in KNOWN-RED.txt as aborted. A listed test that passes is a
 * failure, so that the list holds only tests that fail. The extension is registered for every
 * Jupiter test; {@code KnownRedTest} checks the list itself.
 */
public final class KnownRed implements InvocationInterceptor {
  private static final Path FILE = Path.of("KNOWN-RED.txt");
  private static final int FIELDS = 4;

  /**
   * A known failure, written as one line: {@code package.Class.method | command and seed | observed
   * failure | issue N}.
   *
   * @param test the full name of a Jupiter test
   * @param command the command and the seed that reproduce the failure
   * @param seen the observed failure
   * @param issue the issue that tracks the failure
   */
  public record Entry(String test, String command, String seen, String issue) {}

  /** Reads KNOWN-RED.txt; without the file the list is empty. */
  public static List<Entry> list() {
    try {
      return Files.exists(FILE) ? parse(Files.readAllLines(FILE)) : List.of();
    } catch (IOException unreadable) {
      throw new UncheckedIOException(unreadable);
    }
  }

  /**
   * Parses a list.
   *
   * @param lines one entry per line; blank lines are skipped
   * @return the entries
   * @throws IllegalArgumentException if an entry lacks a field, names a test that does not exist,
   *     or names one that is already listed; the message names the entry
   */
  public static List<Entry> parse(List<String> lines) {
    List<Entry> entries = new ArrayList<>();
    Set<String> tests = new HashSet<>();
    for (String line : lines) {
      if (!line.isBlank()) {
        Entry entry = entry(line);
        if (!tests.add(entry.test())) {
          throw new IllegalArgumentException(entry.test() + " is listed twice");
        }
        entries.add(entry);
      }
    }
    return entries;
  }

  private static Entry entry(String line) {
    String[] fields = line.split("\\|", -1);
    if (fields.length != FIELDS
        || fields[1].isBlank()
        || fields[2].isBlank()
        || !fields[3].strip().matches("issue \\d+")) {
      throw new IllegalArgumentException(
          "expected: test | command and seed | observed failure | issue N; found: " + line);
    }
    String test = fields[0].strip();
    if (!exists(test)) {
      throw new IllegalArgumentException("no such test: " + test);
    }
    return new Entry(test, fields[1].strip(), fields[2].strip(), fields[3].strip());
  }

  private static boolean exists(String test) {
    int dot = test.lastIndexOf('.');
    if (dot < 0) {
      return false;
    }
    try {
      for (Method method : Class.forName(test.substring(0, dot)).getDeclaredMethods()) {
        if (method.getName().equals(test.substring(dot + 1))
            && method.isAnnotationPresent(Test.class)) {
          return true;
        }
      }
      return false;
    } catch (ClassNotFoundException missing) {
      return false;
    }
  }

  @Override
  public void interceptTestMethod(
      Invocation<Void> invocation,
      ReflectiveInvocationContext<Method> context,
      ExtensionContext extension)
      throws Throwable {
    String name =
        context.getExecutable().getDeclaringClass().getName()
            + "."
            + context.getExecutable().getName();
    Entry listed =
        list().stream().filter(entry -> entry.test().equals(name)).findFirst().orElse(null);
    if (listed == null) {
      invocation.proceed();
    } else {
      runKnownFailure(listed, invocation);
    }
  }

  static void runKnownFailure(Entry listed, Invocation<Void> invocation) {
    try {
      invocation.proceed();
    } catch (Throwable failure) {
      System.out.println(
          "KNOWN RED "
              + listed.test()
              + ": "
              + listed.seen()
              + " ("
              + listed.command()
              + ", "
              + listed.issue()
              + "): "
              + failure);
      throw new TestAbortedException("known red, " + listed.issue());
    }
    throw new AssertionError(listed.test() + " passes: remove it from KNOWN-RED.txt");
  }
}
