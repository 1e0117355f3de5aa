package mothwing.adapter;

import java.util.HashMap;
import java.util.Map;
import mothwing.adapter.SimulatorProtocol.Event;
import mothwing.adapter.SimulatorProtocol.Field;
import mothwing.control.GaugeSample;
import mothwing.control.Request;
import mothwing.control.RequestClass;
import mothwing.control.RunOutcome;
import mothwing.control.Settings;
import mothwing.control.Tenant;
import mothwing.settings.InvalidInputException;
import mothwing.settings.JsonFields;

/**
 * Decodes the events of one instance; the settings of the instance name its classes and tenants.
 */
final class EventDecoder {
  private static final int UNKNOWN_TENANT = -1;

  private final Map<String, Integer> classIndexes = new HashMap<>();
  private final Map<String, Integer> tenantIndexes = new HashMap<>();

  EventDecoder(Settings settings) {
    for (RequestClass requestClass : settings.classes()) {
      classIndexes.put(requestClass.name(), classIndexes.size());
    }
    for (Tenant tenant : settings.tenants()) {
      tenantIndexes.put(tenant.name(), tenantIndexes.size());
    }
  }

  /**
   * Decodes an event.
   *
   * @param name the name of the event in the protocol
   * @param event the fields of the event
   * @throws InvalidInputException if the name is unknown, or a field is missing or malformed
   */
  InstanceEvent decode(String name, JsonFields event) throws InvalidInputException {
    return switch (name) {
      case Event.REQUEST_READ -> new InstanceEvent.RequestRead(request(event));
      case Event.REQUEST_CANCELLED -> new InstanceEvent.RequestCancelled(requestId(event));
      case Event.CALL_AWAITED -> new InstanceEvent.CallAwaited(requestId(event));
      case Event.CALL_ENDED ->
          new InstanceEvent.CallEnded(requestId(event), outcome(event), duration(event));
      case Event.RUN_ENDED ->
          new InstanceEvent.RunEnded(requestId(event), outcome(event), duration(event));
      case Event.TIMER_FIRED ->
          new InstanceEvent.TimerFired(
              event.text(Field.TIMER_TAG, ""), GaugeSample.of(event.numbers(Field.GAUGES)));
      case Event.SHUTDOWN_REQUESTED ->
          new InstanceEvent.ShutdownRequested(event.integer(Field.DEADLINE));
      default -> throw new InvalidInputException("field what: unknown event " + name);
    };
  }

  private Request request(JsonFields event) throws InvalidInputException {
    String className = event.text(Field.CLASS);
    Integer classIndex = classIndexes.get(className);
    if (classIndex == null) {
      throw new InvalidInputException("field Band: no class " + className + " in the settings");
    }
    String tenant = event.text(Field.TENANT, "");
    return new Request(
        requestId(event),
        classIndex,
        tenantIndexes.getOrDefault(tenant, UNKNOWN_TENANT),
        event.integer(Field.ESTIMATED_CORE_TIME, 0),
        event.integer(Field.QUEUEING_DELAY, 0),
        event.text(Field.CACHE_KEY, null),
        event.number(Field.MEMORY_KB, 0),
        originalRequest(event),
        event.number(Field.RANK, 0),
        event.integer(Field.DEADLINE, 0),
        event.flag(Field.MUTATES));
  }

  /** Returns the request that an event's request repeats, or null. */
  private static String originalRequest(JsonFields event) throws InvalidInputException {
    String id = event.optionalReference(Field.ORIGINAL_REQUEST);
    return id == null || id.isEmpty() || id.equals(SimulatorProtocol.NO_REQUEST) ? null : id;
  }

  private static String requestId(JsonFields event) throws InvalidInputException {
    return event.text(Field.REQUEST);
  }

  private static long duration(JsonFields event) throws InvalidInputException {
    return event.integer(Field.DURATION, 0);
  }

  private static RunOutcome outcome(JsonFields event) throws InvalidInputException {
    String name = event.text(Field.OUTCOME);
    RunOutcome outcome = SimulatorProtocol.OUTCOMES.get(name);
    if (outcome == null) {
      throw new InvalidInputException("field Verdict: unknown outcome " + name);
    }
    return outcome;
  }
}
