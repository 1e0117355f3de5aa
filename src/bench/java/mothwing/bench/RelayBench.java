package mothwing.bench;

import mothwing.trial.RelayTrips;

/** What the relay of trials adds to a round trip (docs/trials.md). */
public final class RelayBench {
  private RelayBench() {}

  /** Prints it. */
  public static void main(String[] arguments) throws Exception {
    RelayTrips.print();
  }
}
