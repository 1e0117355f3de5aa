package mothwing.server;

import com.google.gson.Gson;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import mothwing.admin.AdminOperations;
import mothwing.broker.Broker;

/** The admin operations of a running server. Used on the event loop only. */
final class ServerAdmin implements AdminOperations {
  private final Broker broker;
  private final BooleanSupplier listening;
  private final Supplier<Optional<Object>> membership;
  private final ReloadStatistics reloads;
  private final Gson json = new Gson();

  /**
   * Creates the operations.
   *
   * @param broker the broker of the server
   * @param listening whether every front listens
   * @param membership the view of the fleet, or empty if the server belongs to no fleet
   * @param reloads the reloads so far
   */
  ServerAdmin(
      Broker broker,
      BooleanSupplier listening,
      Supplier<Optional<Object>> membership,
      ReloadStatistics reloads) {
    this.broker = broker;
    this.listening = listening;
    this.membership = membership;
    this.reloads = reloads;
  }

  @Override
  public boolean isServing() {
    return broker.isServing() && listening.getAsBoolean();
  }

  @Override
  public String statistics() {
    Map<String, Object> statistics = broker.statistics();
    statistics.put("config_reloads", reloads.succeeded());
    statistics.put("config_reload_errors", reloads.failed());
    return json.toJson(statistics);
  }

  @Override
  public Optional<String> members() {
    return membership.get().map(json::toJson);
  }

  @Override
  public boolean setOutOfRotation(boolean outOfRotation) {
    return broker.setOutOfRotation(outOfRotation);
  }
}
