package mothwing.fastcgi;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import java.util.LinkedHashMap;
import java.util.Map;
import mothwing.broker.Broker;
import mothwing.net.ProtocolException;

/** The variables that a gateway may query with a management record. */
final class ServerVariables {
  /** An estimate of the length of the answer in bytes. */
  static final int RESULT_BYTES = 96;

  private static final Map<String, String> VALUES =
      Map.of(
          "FCGI_MAX_CONNS", Integer.toString(Broker.MAX_OPEN_REQUESTS),
          "FCGI_MAX_REQS", Integer.toString(Broker.MAX_OPEN_REQUESTS),
          "FCGI_MPXS_CONNS", "1");

  private static final int MIN_NAME_CHARS = "FCGI_MAX_REQS".length();
  private static final int MAX_NAME_CHARS = "FCGI_MPXS_CONNS".length();

  private ServerVariables() {}

  /**
   * Returns the known ones of the queried variables, each once.
   *
   * @param query the name-value pairs of the query, without values
   * @return the values by name, in the order of the query
   * @throws ProtocolException if the pairs are malformed
   */
  static Map<String, String> answer(ByteBuf query) throws ProtocolException {
    Map<String, String> values = new LinkedHashMap<>();
    FastCgi.readPairs(
        ByteBufUtil.getBytes(query),
        length -> length >= MIN_NAME_CHARS && length <= MAX_NAME_CHARS,
        (name, ignored) -> values.computeIfAbsent(name, VALUES::get));
    return values;
  }
}
