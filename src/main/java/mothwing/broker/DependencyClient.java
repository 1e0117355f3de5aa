package mothwing.broker;

/** What the broker asks of the tier below, for runs that stand at a call. */
public interface DependencyClient {
  /** A tier that is not there: no call can be made. */
  DependencyClient UNAVAILABLE =
      new DependencyClient() {
        @Override
        public boolean startCall(String id, long limitMs, byte[] content) {
          return false;
        }

        @Override
        public void abandonCall(String id) {
          // none was made
        }
      };

  /**
   * Makes a call. Its end is told by {@link Broker#callEnded}, later than this and at most once;
   * nothing is told of one that was abandoned, or whose name was used again.
   *
   * @param id the request whose run stands at the call
   * @param limitMs milliseconds after which the tier below is to give it up, above 0
   * @param content what is asked
   * @return false where nothing can be made: no more of it is heard
   */
  boolean startCall(String id, long limitMs, byte[] content);

  /**
   * Gives up a call, if there is one.
   *
   * @param id the request
   */
  void abandonCall(String id);
}
