package mothwing.cli;

import java.lang.reflect.Proxy;

/**
 * Takes SIGHUP, on which the runtime would else end the process. Its interface for signals is not
 * part of the Java standard, and the compiler warns of it whatever it is told; so it is looked up
 * by name.
 */
final class Hangup {
  private Hangup() {}

  /**
   * Runs something at every SIGHUP from now on, on a thread of the runtime.
   *
   * @param work what to do
   * @return null, or why it will not come: then nothing has changed
   */
  static String handle(Runnable work) {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      Object taker =
          Proxy.newProxyInstance(
              Hangup.class.getClassLoader(),
              new Class<?>[] {handler},
              (self, method, arguments) ->
                  switch (method.getName()) {
                    case "handle" -> {
                      work.run();
                      yield null;
                    }
                    case "hashCode" -> System.identityHashCode(self);
                    case "equals" -> self == arguments[0];
                    default -> "hangup";
                  });
      Object before =
          signal
              .getMethod("handle", signal, handler)
              .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), taker);
      // The runtime leaves a signal ignored that was so when it started, and says so only by this
      // value.
      return handler.getField("SIG_IGN").get(null) != before
          ? null
          : "SIGHUP is ignored by whoever started this process"
              + " (nohup does so): start it by way of env --default-signal=HUP";
    } catch (ReflectiveOperationException none) {
      return "this runtime takes no SIGHUP";
    }
  }
}
