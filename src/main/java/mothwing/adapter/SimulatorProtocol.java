package mothwing.adapter;

import java.util.Map;
import mothwing.control.RunOutcome;

/** Names of the fields, events, actions and outcomes of the simulator's protocol. */
final class SimulatorProtocol {
  /** Fields of batches, events and actions. */
  static final class Field {
    static final String TIME = "SimTime";
    static final String EVENTS = "in";
    static final String ACTIONS = "out";

    static final String NAME = "what";
    static final String INSTANCE = "Who";
    static final String REQUEST = "Job";
    static final String OUTCOME = "Verdict";
    static final String DURATION = "Rtt";
    static final String TIMER_TAG = "Tag";
    static final String DEADLINE = "ValidUntil";

    static final String SEED = "Seed";
    static final String SETTINGS = "Options";
    static final String CLASS = "Band";
    static final String TENANT = "Team";
    static final String ESTIMATED_CORE_TIME = "Cost";
    static final String QUEUEING_DELAY = "UnreadFor";
    static final String CACHE_KEY = "Affinity";
    static final String MEMORY_KB = "Kb";
    static final String ORIGINAL_REQUEST = "Forerunner";
    static final String RANK = "Prio";
    static final String MUTATES = "Mutates";
    static final String GAUGES = "Stats";

    static final String TEXT = "What";
    static final String CALL_DEADLINE = "TryUntil";
    static final String IS_FINAL = "DontRetry";
    static final String RETRY_AFTER = "Pause";
    static final String LIFETIME = "Lifetime";
    static final String TIMER_AT = "Time";
    static final String FREE_VALUE = "X";
    static final String IS_SHALLOW = "Cheap";
    static final String IS_HEALTHY = "Want";

    private Field() {}
  }

  /** Names of events. */
  static final class Event {
    static final String SERVER_STARTED = "PowerOn";
    static final String SERVER_REMOVED = "Detach";
    static final String REQUEST_READ = "Submit";
    static final String REQUEST_CANCELLED = "Abandoned";
    static final String CALL_AWAITED = "StalledOnCall";
    static final String CALL_ENDED = "CallResult";
    static final String RUN_ENDED = "Finished";
    static final String TIMER_FIRED = "Fired";
    static final String SHUTDOWN_REQUESTED = "Sigterm";

    private Event() {}
  }

  /** Names of actions. */
  static final class Action {
    static final String START_RUN = "Start";
    static final String START_CALL = "AskBelow";
    static final String SKIP_CALL = "Omit";
    static final String STOP_RUN = "Preempt";
    static final String REJECT_REQUEST = "Bounce";
    static final String FAIL_REQUEST = "EndFailed";
    static final String REMEMBER_KEY = "Remember";
    static final String FORGET_KEY = "DropKey";
    static final String REPLAY_RESULT = "Replay";
    static final String SCHEDULE_TIMER = "Timer";
    static final String PUBLISH_FREE_VALUE = "Stamp";
    static final String SET_HEALTH = "Health";
    static final String CLOSE_IDLE_CONNECTIONS = "TrimAfter";
    static final String LOG = "Log";
    static final String REPORT_EXCEPTION = "Exception";

    private Action() {}
  }

  /** Outcomes of runs and calls. */
  static final Map<String, RunOutcome> OUTCOMES =
      Map.of(
          "GOOD", RunOutcome.SUCCEEDED,
          "BAD", RunOutcome.FAILED,
          "FULL", RunOutcome.REJECTED,
          "LATE", RunOutcome.TIMED_OUT,
          "NOCONN", RunOutcome.UNREACHABLE,
          "RST", RunOutcome.CONNECTION_LOST,
          "CXL", RunOutcome.STOPPED,
          "NOP", RunOutcome.NOT_STARTED);

  /** Request id that stands for no request in an optional field. */
  static final String NO_REQUEST = "0";

  private SimulatorProtocol() {}
}
