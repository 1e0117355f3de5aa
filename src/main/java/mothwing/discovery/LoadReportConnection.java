package mothwing.discovery;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import mothwing.broker.Counters;
import mothwing.broker.EventLog;
import mothwing.net.CloseReason;
import mothwing.net.Connection;
import mothwing.net.ProtocolException;

/** A connection to the discovery service that carries one report at a time. */
final class LoadReportConnection extends Connection {
  private final LoadReporter reporter;
  private final int addressVersion;
  private final String name;
  private boolean awaitsResponse;

  LoadReportConnection(
      LoadReporter reporter, int addressVersion, String name, EventLog log, Counters counters) {
    super("discovery", LoadReportProtocol.MAX_RESPONSE_BYTES, log, counters);
    this.reporter = reporter;
    this.addressVersion = addressVersion;
    this.name = name;
  }

  @Override
  protected void onOpened() {
    reporter.opened(this, addressVersion);
  }

  @Override
  protected void onClosed() {
    reporter.ended(this);
  }

  /** Returns whether the last report has no response yet. */
  boolean awaitsResponse() {
    return awaitsResponse;
  }

  void sendReport(boolean accepting) {
    awaitsResponse = true;
    String request = LoadReportProtocol.encodeReport(name, accepting);
    count("reports");
    send(request.length(), out -> out.writeCharSequence(request, StandardCharsets.US_ASCII));
  }

  @Override
  protected boolean decode(ByteBuf in) throws ProtocolException {
    Optional<LoadReportProtocol.Response> response = LoadReportProtocol.readResponse(in);
    response.ifPresent(this::handleResponse);
    return response.isPresent();
  }

  private void handleResponse(LoadReportProtocol.Response response) {
    awaitsResponse = false;
    count(response.isAccepted() ? "reports-accepted" : "reports-refused");
    if (response.isLast()) {
      reporter.ended(this);
      close(CloseReason.ASKED, "");
    }
  }
}
