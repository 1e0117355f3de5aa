package mothwing.testing;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.InvocationInterceptor.Invocation;
import org.junit.jupiter.api.extension.ReflectiveInvocationContext;
import org.opentest4j.TestAbortedException;

/** Checks the list of known failures, and that unlisted tests keep their result. */
class KnownRedTest {
  private static final String LINE =
      "mothwing.testing.KnownRedTest.parsesListInRepository | a command, seed 7 | a failure | issue 1";

  @Test
  void parsesListInRepository() {
    List<KnownRed.Entry> listed = assertDoesNotThrow(KnownRed::list);
    listed.forEach(entry -> System.out.println("KNOWN-RED.txt lists " + entry));
  }

  @Test
  void rejectsMalformedOrRepeatedEntries() {
    assertEquals(
        List.of(
            new KnownRed.Entry(
                "mothwing.testing.KnownRedTest.parsesListInRepository",
                "a command, seed 7",
                "a failure",
                "issue 1")),
        KnownRed.parse(List.of(LINE, "")));
    for (List<String> invalid :
        List.of(
            List.of(LINE, LINE),
            List.of(LINE.replace("a command, seed 7", " ")),
            List.of(LINE.replace("a failure", " ")),
            List.of(LINE.replace("| a failure ", "")),
            List.of(LINE + " | more"),
            List.of(LINE.replace("issue 1", "later")),
            List.of(LINE.replace("parsesList", "missingList")),
            List.of(LINE.replace("KnownRedTest", "NoTest")))) {
      assertThrows(
          IllegalArgumentException.class, () -> KnownRed.parse(invalid), invalid::toString);
    }
  }

  @Test
  void parsesListOfManyTests() {
    List<String> lines =
        Arrays.stream(KnownRedTest.class.getDeclaredMethods())
            .filter(method -> method.isAnnotationPresent(Test.class))
            .map(method -> LINE.replace("parsesListInRepository", method.getName()))
            .toList();
    assertTrue(lines.size() > 3);
    assertEquals(lines.size(), KnownRed.parse(lines).size());
  }

  /** Calls the interceptor with the method of this test, which is not listed. */
  @Test
  void keepsResultOfUnlistedTest() throws Throwable {
    Method method = KnownRedTest.class.getDeclaredMethod("keepsResultOfUnlistedTest");
    IllegalStateException failure = new IllegalStateException("fails");
    assertEquals(
        failure,
        assertThrows(
            IllegalStateException.class,
            () -> new KnownRed().interceptTestMethod(failing(failure), contextOf(method), null)));
    new KnownRed().interceptTestMethod(() -> null, contextOf(method), null);
  }

  @Test
  void abortsListedTestThatFailsAndFailsListedTestThatPasses() throws Throwable {
    KnownRed.Entry listed = KnownRed.parse(List.of(LINE)).get(0);
    assertThrows(
        TestAbortedException.class,
        () -> KnownRed.runKnownFailure(listed, failing(new AssertionError("known failure"))));
    assertThrows(AssertionError.class, () -> KnownRed.runKnownFailure(listed, () -> null));
  }

  private static Invocation<Void> failing(Throwable failure) {
    return () -> {
      throw failure;
    };
  }

  @SuppressWarnings("unchecked")
  private static ReflectiveInvocationContext<Method> contextOf(Method method) {
    return (ReflectiveInvocationContext<Method>)
        Proxy.newProxyInstance(
            KnownRedTest.class.getClassLoader(),
            new Class<?>[] {ReflectiveInvocationContext.class},
            (proxy, called, arguments) -> called.getName().equals("getExecutable") ? method : null);
  }
}
