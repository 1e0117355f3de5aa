package mothwing.testing;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.reflect.Method;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtensionContext;
import org.junit.jupiter.api.extension.InvocationInterceptor;
import org.junit.jupiter.api.extension.ReflectiveInvocationContext;
import org.opentest4j.TestAbortedException;

/**
 * Passes over the tests that KNOWN-RED.txt lists, and only while they fail: a listed test that
 * passes is a failure. Registered for every Jupiter test; the list itself is checked by {@code
 * KnownRedTest}.
 */
public final class KnownRed implements InvocationInterceptor {
  /** Most lines of the list. */
  public static final int MOST = 3;

  private static final Path FILE = Path.of("KNOWN-RED.txt");
  private static final int PARTS = 3;

  /**
   * One line of the list: {@code package.Class.method | cause | issue N}.
   *
   * @param test the full name of a Jupiter test
   * @param cause why it fails, as far as known
   * @param issue where it is followed up
   */
  public record Entry(String test, String cause, String issue) {}

  /** Reads the list in force; without a file it is empty. */
  public static List<Entry> list() {
    try {
      return Files.exists(FILE) ? parse(Files.readAllLines(FILE)) : List.of();
    } catch (IOException unreadable) {
      throw new UncheckedIOException(unreadable);
    }
  }

  /**
   * Reads a list.
   *
   * @param lines a line an entry; empty ones are passed over
   * @return the entries
   * @throws IllegalArgumentException where there are too many, one lacks a part, or one names no
   *     test; the message says which
   */
  public static List<Entry> parse(List<String> lines) {
    List<Entry> all = new ArrayList<>();
    for (String line : lines) {
      if (!line.isBlank()) {
        all.add(entry(line));
      }
    }
    if (all.size() > MOST) {
      throw new IllegalArgumentException(all.size() + " tests are listed, " + MOST + " at most");
    }
    return all;
  }

  private static Entry entry(String line) {
    String[] parts = line.split("\\|", -1);
    if (parts.length != PARTS || parts[1].isBlank() || !parts[2].strip().matches("issue \\d+")) {
      throw new IllegalArgumentException("expected: test | cause | issue N; found: " + line);
    }
    String test = parts[0].strip();
    if (!exists(test)) {
      throw new IllegalArgumentException("there is no test " + test);
    }
    return new Entry(test, parts[1].strip(), parts[2].strip());
  }

  private static boolean exists(String test) {
    int dot = test.lastIndexOf('.');
    if (dot < 0) {
      return false;
    }
    try {
      for (Method one : Class.forName(test.substring(0, dot)).getDeclaredMethods()) {
        if (one.getName().equals(test.substring(dot + 1)) && one.isAnnotationPresent(Test.class)) {
          return true;
        }
      }
      return false;
    } catch (ClassNotFoundException none) {
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
    Entry listed = list().stream().filter(one -> one.test().equals(name)).findFirst().orElse(null);
    if (listed == null) {
      invocation.proceed();
    } else {
      passOver(listed, invocation);
    }
  }

  static void passOver(Entry listed, Invocation<Void> invocation) {
    try {
      invocation.proceed();
    } catch (Throwable red) {
      System.out.println(
          "KNOWN RED "
              + listed.test()
              + ": "
              + listed.cause()
              + " ("
              + listed.issue()
              + "): "
              + red);
      throw new TestAbortedException("known red, " + listed.issue());
    }
    throw new AssertionError(listed.test() + " passes: take it off KNOWN-RED.txt");
  }
}
