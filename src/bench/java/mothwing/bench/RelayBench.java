package mothwing.bench;

import mothwing.trial.RelayRoundTrips;

/** Measures the latency that the relay of the trials adds to a round trip (docs/trials.md). */
public final class RelayBench {
  private RelayBench() {}

  public static void main(String[] arguments) throws Exception {
    RelayRoundTrips.print();
  }
}
