package mothwing.server;

/** What runs in the foreground until it is told to leave. */
public interface Service {
    /** The notice to leave: may come from any thread, and more than once. */
    void drain();

    /**
     * Waits until it has left after a notice.
     *
     * @throws InterruptedException where the wait is broken off
     */
    void await() throws InterruptedException;

    /**
     * The counts so far.
     *
     * @return one line
     */
    String counts();
}
