package mothwing.broker;

/** Makes calls to the dependency for runs that await one. */
public interface DependencyClient {
  /** The client when no dependency is configured: no call can be made. */
  DependencyClient UNAVAILABLE =
      new DependencyClient() {
        @Override
        public boolean startCall(String id, long timeoutMillis, byte[] content) {
          return false;
        }

        @Override
        public void abandonCall(String id) {
          // no call was made
        }
      };

  /**
   * Starts a call. {@link Broker#callEnded} reports its end, after this method has returned and at
   * most once; the end of an abandoned call, or of one whose id was used again, is not reported.
   *
   * @param id the request whose run awaits the call
   * @param timeoutMillis milliseconds after which the dependency gives up the call, above 0
   * @param content the content of the call
   * @return false if no call can be made; then no end is reported
   */
  boolean startCall(String id, long timeoutMillis, byte[] content);

  /**
   * Abandons a call, if there is one.
   *
   * @param id the request
   */
  void abandonCall(String id);
}
