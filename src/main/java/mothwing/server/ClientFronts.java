package mothwing.server;

import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BiConsumer;
import mothwing.broker.EventLog;
import mothwing.net.CloseReason;
import mothwing.net.Listener;
import mothwing.net.ReadBudget;

/**
 * The listeners for clients: binds them, at once or once the server is ready, and knows which of
 * them listen. A stop waits for binds in progress, as a client that connects in that moment is to
 * be answered too. On the event loop's thread, but for the methods that a start calls.
 */
final class ClientFronts {
  private final EventLoop loop;
  private final ByteBufAllocator allocator;
  private final EventLog log;
  private final List<Front> fronts = new ArrayList<>();
  private final List<Listener> listening = new CopyOnWriteArrayList<>();
  private int pendingBinds = 1; // the start of the server counts as one
  private boolean stopped;
  private Runnable onStopped = () -> {};

  private record Front(Listener listener, InetSocketAddress address) {}

  /**
   * Makes it without fronts.
   *
   * @param loop the thread of all connections
   * @param allocator gives buffers
   * @param log takes lines of the log
   */
  ClientFronts(EventLoop loop, ByteBufAllocator allocator, EventLog log) {
    this.loop = loop;
    this.allocator = allocator;
    this.log = log;
  }

  /** Adds a front that is to listen at an address. */
  void add(Listener listener, InetSocketAddress address) {
    fronts.add(new Front(listener, address));
  }

  /** Makes all fronts share a read budget. */
  void limitReads(ReadBudget budget) {
    fronts.forEach(front -> front.listener().limitReads(budget));
  }

  /** Lets another process listen at the same addresses. */
  void shareAddresses() {
    fronts.forEach(front -> front.listener().shareAddress());
  }

  /**
   * Listens now, on the caller's thread.
   *
   * @throws ListenException where an address cannot be bound
   */
  void listen() throws ListenException {
    for (Front front : fronts) {
      bind(front.listener(), front.address());
      listening.add(front.listener());
    }
  }

  /**
   * Binds one listener, on the caller's thread.
   *
   * @throws ListenException where the address cannot be bound
   */
  void bind(Listener listener, InetSocketAddress address) throws ListenException {
    Future<Void> bound = listener.listen(loop, allocator, address).awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw new ListenException(address, bound.cause());
    }
  }

  /**
   * Listens without waiting for it, unless a stop has begun.
   *
   * @param onFailure called for an address that cannot be bound
   */
  void listenInBackground(BiConsumer<InetSocketAddress, Throwable> onFailure) {
    for (Front front : fronts) {
      if (stopped) {
        return;
      }
      pendingBinds++;
      front
          .listener()
          .listen(loop, allocator, front.address())
          .addListener(
              bound -> {
                if (bound.isSuccess()) {
                  listening.add(front.listener());
                  log.write("takes-clients listen=" + front.address());
                  bindFinished();
                } else {
                  onFailure.accept(front.address(), bound.cause());
                }
              });
    }
  }

  /** The start of the server, or one bind of it, is over. */
  void bindFinished() {
    pendingBinds--;
    if (pendingBinds == 0 && stopped) {
      onStopped.run();
    }
  }

  /**
   * Binds nothing further.
   *
   * @param then called once no bind is in progress
   */
  void stop(Runnable then) {
    stopped = true;
    onStopped = then;
    if (pendingBinds == 0) {
      then.run();
    }
  }

  /** Whether every front listens. */
  boolean isListening() {
    return listening.size() == fronts.size();
  }

  /** The listeners that listen. */
  List<Listener> listening() {
    return listening;
  }

  /**
   * Keeps to the quota of a shared address, and closes idle and timed-out connections.
   *
   * @param idleLimit microseconds for which a connection may be idle; 0 where none is closed yet
   */
  void supervise(long idleLimit) {
    if (stopped) { // the shutdown decides how long connections stay
      return;
    }
    listening.forEach(Listener::pollSharedPort);
    if (idleLimit > 0) {
      listening.forEach(listener -> listener.closeExpired(idleLimit, CloseReason.IDLE));
    }
  }
}
