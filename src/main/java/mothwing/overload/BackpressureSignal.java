package mothwing.overload;

import java.util.function.Supplier;
import mothwing.control.ControllerHost;
import mothwing.control.FreeValue;
import mothwing.control.Settings;

/**
 * What the controller tells its callers of itself: the free value, and how long idle connections
 * may stay.
 */
final class BackpressureSignal {
  private static final double LEAST_SHARE =
      0.1; // of traffic still asked for, so that a recovery shows
  private static final double SHARE_STEPS = 20; // count: the free value is said in twentieths
  private static final double REFUSED_DECAY =
      0.98; // a sample, of the share refused: some fifty samples
  private static final double IDLE_DECAY =
      0.8; // the same on idle cores, which have room for what was refused
  private static final double REUSE_SECONDS =
      15; // between a caller's requests: past it idling costs more
  private static final double STORM =
      0.85; // share refused: over it handshakes cost more than full tables
  private static final double STORM_OVER = 0.6; // share refused under which they no longer do
  private static final long TRIM_LEAST =
      10_000; // microseconds: the shortest idle span a host can keep
  private static final double SECOND = 1e6; // microseconds

  private final Supplier<Settings> settings;
  private final ControllerHost host;
  private double readWork;
  private double refusedWork;
  private double said = -1;
  private FreeValue saidAs;
  private boolean trimmed;
  private boolean leaving;
  private int reads;

  BackpressureSignal(Supplier<Settings> settings, ControllerHost host) {
    this.settings = settings;
    this.host = host;
  }

  /** A request was read, of so much work. */
  void read(double work) {
    reads++;
    readWork += work;
  }

  /** A request that was read is refused, as there is too much work. */
  void refused(double work) {
    refusedWork += work;
  }

  /** The notice to leave: callers are asked for nothing more. */
  void leave() {
    leaving = true;
    say(0);
  }

  /**
   * Says what has changed, once a sample: whether runs fail, cores idle, and how long ago this
   * server started.
   */
  void sample(boolean failing, boolean idle, long age) {
    refusedWork *= idle ? IDLE_DECAY : 1;
    say(leaving ? 0 : failing ? LEAST_SHARE : share());
    trimConnections(age);
  }

  /** What callers should bring, as a share of what they would. */
  private double share() {
    double ratio = readWork > 0 ? refusedWork / readWork : 0;
    readWork *= REFUSED_DECAY;
    refusedWork *= REFUSED_DECAY;
    return Math.max(LEAST_SHARE, Math.round((1 - ratio) * SHARE_STEPS) / SHARE_STEPS);
  }

  private void say(double share) {
    FreeValue meaning = settings.get().signals().freeValue();
    if (meaning != FreeValue.NONE
        && meaning != FreeValue.WINDOW
        && (share != said || meaning != saidAs)) {
      said = share;
      saidAs = meaning;
      host.publishFreeValue(
          meaning == FreeValue.LEVEL ? (share >= 1 ? 0 : Math.min(0.95, 1 - share)) : share);
    }
  }

  /**
   * Hundreds of callers that come seldom fill the table with idle connections, and others find no
   * room.
   */
  private void trimConnections(long age) {
    double rate = Math.max(2 * settings.get().machine().cores(), reads * SECOND / age);
    boolean storm = refusedWork > readWork * (trimmed ? STORM : STORM_OVER);
    boolean seldom = settings.get().callers() > REUSE_SECONDS * rate && !storm;
    long idle = settings.get().signals().idleTimeout();
    if (idle > TRIM_LEAST && seldom != trimmed) {
      trimmed = seldom;
      host.closeIdleConnections(seldom ? TRIM_LEAST : idle);
    }
  }
}
