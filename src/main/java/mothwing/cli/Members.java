package mothwing.cli;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/** What a running shop server holds of its fleet, as a table or as it came. */
final class Members {
  private static final long PERIOD_MS = 500;
  private static final List<String> COLUMNS =
      List.of("name", "state", "zone", "address", "incarnation", "start", "by", "flapping");

  private Members() {}

  /** Prints it once. The status is 0, or 1 where the server says no. */
  static int show(String server, boolean json, PrintStream out) throws IOException {
    String said = Manage.call(server, "MEMBERS");
    out.print(shown(said, json));
    return said.startsWith("NO") ? 1 : 0;
  }

  /**
   * Prints it whenever it has changed, until the process is ended or the server no longer answers.
   */
  static int watch(String server, boolean json, PrintStream out)
      throws IOException, InterruptedException {
    String before = "";
    while (true) {
      String said = Manage.call(server, "MEMBERS");
      if (!said.equals(before)) {
        out.print(shown(said, json) + (json || said.startsWith("NO") ? "" : "\n"));
        out.flush();
        before = said;
      }
      if (said.startsWith("NO")) {
        return 1;
      }
      Thread.sleep(PERIOD_MS);
    }
  }

  private static String shown(String said, boolean json) throws IOException {
    return said.startsWith("NO") ? said : json ? first(said) + "\n" : table(said);
  }

  private static String first(String said) {
    return said.lines().findFirst().orElse("");
  }

  /** The reply to MEMBERS as people read it. */
  static String table(String said) throws IOException {
    try {
      JsonObject all = JsonParser.parseString(first(said)).getAsJsonObject();
      List<List<String>> rows = new ArrayList<>();
      rows.add(COLUMNS);
      for (JsonElement one : all.getAsJsonArray("members")) {
        rows.add(
            COLUMNS.stream()
                .map(column -> one.getAsJsonObject().get(column).getAsString())
                .toList());
      }
      StringBuilder text =
          new StringBuilder(
              "fleet "
                  + all.get("fleet").getAsString()
                  + ", seen by "
                  + all.get("self").getAsString()
                  + ", which is "
                  + all.get("state").getAsString()
                  + "; version "
                  + all.get("version").getAsString()
                  + "\n");
      StringBuilder form = new StringBuilder();
      for (int i = 0; i < COLUMNS.size(); i++) {
        int column = i;
        form.append("  %-")
            .append(rows.stream().mapToInt(row -> row.get(column).length()).max().orElse(1))
            .append('s');
      }
      rows.forEach(
          row ->
              text.append(String.format(form.toString(), row.toArray()).stripTrailing())
                  .append('\n'));
      return text.toString();
    } catch (JsonParseException | IllegalStateException | NullPointerException bad) {
      throw new IOException("the server's reply is not understood: " + bad.getMessage());
    }
  }
}
