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

/** The list of known failures, and that it hides nothing else. */
class KnownRedTest {
  private static final String LINE =
      "mothwing.testing.KnownRedTest.theListInForceIsWellFormed | a command, seed 7 | a failure | issue 1";

  @Test
  void theListInForceIsWellFormed() {
    List<KnownRed.Entry> listed = assertDoesNotThrow(KnownRed::list);
    listed.forEach(one -> System.out.println("KNOWN-RED.txt lists " + one));
  }

  @Test
  void aListThatSaysTooMuchOrTooLittleIsTurnedDown() {
    assertEquals(
        List.of(
            new KnownRed.Entry(
                "mothwing.testing.KnownRedTest.theListInForceIsWellFormed",
                "a command, seed 7",
                "a failure",
                "issue 1")),
        KnownRed.parse(List.of(LINE, "")));
    for (List<String> bad :
        List.of(
            List.of(LINE, LINE),
            List.of(LINE.replace("a command, seed 7", " ")),
            List.of(LINE.replace("a failure", " ")),
            List.of(LINE.replace("| a failure ", "")),
            List.of(LINE + " | more"),
            List.of(LINE.replace("issue 1", "later")),
            List.of(LINE.replace("theList", "noList")),
            List.of(LINE.replace("KnownRedTest", "NoTest")))) {
      assertThrows(IllegalArgumentException.class, () -> KnownRed.parse(bad), bad::toString);
    }
  }

  @Test
  void anyNumberOfTestsMayBeListed() {
    List<String> lines =
        Arrays.stream(KnownRedTest.class.getDeclaredMethods())
            .filter(one -> one.isAnnotationPresent(Test.class))
            .map(one -> LINE.replace("theListInForceIsWellFormed", one.getName()))
            .toList();
    assertTrue(lines.size() > 3);
    assertEquals(lines.size(), KnownRed.parse(lines).size());
  }

  /**
   * Played through the interceptor itself, with this test's own method in the place of a listed
   * one.
   */
  @Test
  void whatIsNotListedKeepsItsVerdict() throws Throwable {
    Method own = KnownRedTest.class.getDeclaredMethod("whatIsNotListedKeepsItsVerdict");
    IllegalStateException failure = new IllegalStateException("fails");
    assertEquals(
        failure,
        assertThrows(
            IllegalStateException.class,
            () -> new KnownRed().interceptTestMethod(failing(failure), of(own), null)));
    new KnownRed().interceptTestMethod(() -> null, of(own), null);
  }

  @Test
  void aListedTestIsPassedOverWhileItFailsAndFailsOnceItPasses() throws Throwable {
    KnownRed.Entry listed = KnownRed.parse(List.of(LINE)).get(0);
    assertThrows(
        TestAbortedException.class,
        () -> KnownRed.runKnownFailure(listed, failing(new AssertionError("red"))));
    assertThrows(AssertionError.class, () -> KnownRed.runKnownFailure(listed, () -> null));
  }

  private static Invocation<Void> failing(Throwable by) {
    return () -> {
      throw by;
    };
  }

  @SuppressWarnings("unchecked")
  private static ReflectiveInvocationContext<Method> of(Method method) {
    return (ReflectiveInvocationContext<Method>)
        Proxy.newProxyInstance(
            KnownRedTest.class.getClassLoader(),
            new Class<?>[] {ReflectiveInvocationContext.class},
            (proxy, called, words) -> called.getName().equals("getExecutable") ? method : null);
  }
}
