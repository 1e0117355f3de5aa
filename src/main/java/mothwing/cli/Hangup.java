package mothwing.cli;

import java.lang.reflect.Proxy;
import java.util.Optional;

/**
 * Handles SIGHUP, on which the Java runtime would otherwise end the process. The runtime's signal
 * interface is not part of the Java standard, and the compiler's warning about it cannot be
 * suppressed, so it is looked up by name.
 */
final class Hangup {
  private Hangup() {}

  /**
   * Runs an action at every SIGHUP from now on, on a thread of the runtime.
   *
   * @param action the action
   * @return nothing, or why SIGHUP cannot be handled, in which case nothing has changed
   */
  static Optional<String> handle(Runnable action) {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      Object signalHandler =
          Proxy.newProxyInstance(
              Hangup.class.getClassLoader(),
              new Class<?>[] {handler},
              (self, method, arguments) ->
                  switch (method.getName()) {
                    case "handle" -> {
                      action.run();
                      yield null;
                    }
                    case "hashCode" -> System.identityHashCode(self);
                    case "equals" -> self == arguments[0];
                    default -> "hangup";
                  });
      Object previous =
          signal
              .getMethod("handle", signal, handler)
              .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), signalHandler);
      // A signal that was ignored at the start stays ignored, and only this value shows it.
      return handler.getField("SIG_IGN").get(null) != previous
          ? Optional.empty()
          : Optional.of(
              "SIGHUP is ignored by whoever started this process"
                  + " (nohup does so): start it by way of env --default-signal=HUP");
    } catch (ReflectiveOperationException unavailable) {
      return Optional.of("this runtime takes no SIGHUP");
    }
  }
}
