package mothwing.trial;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToIntFunction;
import mothwing.trial.History.Call;
import mothwing.trial.History.End;
import mothwing.trial.Oracles.Verdict;
import org.HdrHistogram.Histogram;

/** Writes what a trial came to: JSON, CSV and one page with charts that needs nothing else. */
final class Report {
  private static final String CHARTS = "/META-INF/resources/webjars/uplot/1.6.30/dist/";
  private static final double SECOND = 1e6;
  private static final double MILLI = 1000;
  private static final int MOST_SECONDS = 7200;
  private static final int MOST_WORDS = 50;
  private static final Gson JSON = new GsonBuilder().setPrettyPrinting().create();

  /** One line of a chart: a value a second. */
  private record Line(String name, double[] values) {}

  private record Chart(String title, String unit, List<Line> series) {}

  /** What the page's script reads. */
  private record Data(int[] seconds, List<double[]> faults, List<Chart> charts) {}

  private final Trial trial;
  private final History history;
  private final Verdict verdict;
  private final int seconds;

  private Report(Trial trial, History history, Verdict verdict) {
    this.trial = trial;
    this.history = history;
    this.verdict = verdict;
    long last = history.calls.stream().mapToLong(Call::endedAt).max().orElse(0);
    seconds =
        (int) Math.min(MOST_SECONDS, Math.max(last, (long) (trial.seconds() * SECOND)) / SECOND)
            + 1;
  }

  /**
   * Writes it.
   *
   * @param folder where to; made where it is not there
   * @throws IOException where it cannot be written
   */
  static void write(Trial trial, History history, Verdict verdict, Path folder) throws IOException {
    Files.createDirectories(folder);
    Report one = new Report(trial, history, verdict);
    List<Chart> charts = one.charts();
    Files.writeString(folder.resolve("trial.star"), trial.script());
    history.write(folder.resolve("history"));
    Map<String, Object> summary = new LinkedHashMap<>();
    summary.put("trial", trial.name());
    summary.put("seed", trial.seed());
    summary.put("status", verdict.status());
    summary.put("breaches", verdict.breaches());
    summary.put("doubts", verdict.doubts());
    summary.put("figures", TrialStatistics.of(trial, history));
    summary.put("cold_starts", WarmUpBudgetCheck.of(trial, history));
    Files.writeString(folder.resolve("summary.json"), JSON.toJson(summary) + "\n");
    Files.writeString(folder.resolve("seconds.csv"), one.csv(charts));
    Files.writeString(folder.resolve("index.html"), one.page(charts));
  }

  private int place(long at) {
    return (int) Math.max(0, Math.min(seconds - 1, at / (long) SECOND));
  }

  private double[] counted(ToIntFunction<Call> when) {
    double[] all = new double[seconds];
    for (Call call : history.calls) {
      int at = when.applyAsInt(call);
      if (at >= 0) {
        all[at]++;
      }
    }
    return all;
  }

  private List<Chart> charts() {
    List<Line> tries =
        new ArrayList<>(List.of(new Line("sent", counted(call -> place(call.sentAt())))));
    for (End end :
        List.of(End.SERVED, End.REFUSED, End.FAILED, End.LOST, End.UNREACHED, End.GAVE_UP)) {
      tries.add(
          new Line(
              end.name().toLowerCase(Locale.ROOT).replace('_', ' '),
              counted(call -> call.end() == end ? place(call.endedAt()) : -1)));
    }
    Histogram[] times = new Histogram[seconds];
    for (Call call : history.calls) {
      if (call.end() == End.SERVED) {
        int at = place(call.endedAt());
        times[at] = times[at] == null ? new Histogram(3) : times[at];
        times[at].recordValue(Math.max(0, call.endedAt() - call.sentAt()));
      }
    }
    List<Line> slow = new ArrayList<>();
    for (int share : new int[] {50, 99}) {
      slow.add(
          new Line(
              "p" + share,
              Arrays.stream(times)
                  .mapToDouble(one -> one == null ? 0 : one.getValueAtPercentile(share) / MILLI)
                  .toArray()));
    }
    Map<String, double[]> runs = new LinkedHashMap<>();
    trial.servers().forEach(one -> runs.put(one, new double[seconds]));
    history.runs.forEach(run -> runs.get(run.machine)[place(run.beganAt)]++);
    Map<String, double[]> memory = new LinkedHashMap<>();
    trial.servers().forEach(one -> memory.put(one, new double[seconds]));
    history.sizes.forEach(
        one -> memory.get(one.machine())[place(one.at())] = one.kilobytes() / 1024.0);
    return List.of(
        new Chart("Tries", "a second", tries),
        new Chart("Time of tries that were served", "ms", slow),
        new Chart("Runs begun by machine", "a second", lines(runs)),
        new Chart("Resident memory by machine", "MB", lines(memory)));
  }

  private static List<Line> lines(Map<String, double[]> all) {
    return all.entrySet().stream().map(one -> new Line(one.getKey(), one.getValue())).toList();
  }

  private String csv(List<Chart> charts) {
    StringBuilder out = new StringBuilder("second");
    charts.forEach(
        chart ->
            chart
                .series()
                .forEach(
                    line -> out.append(',').append(chart.title()).append(' ').append(line.name())));
    for (int i = 0; i < seconds; i++) {
      out.append('\n').append(i);
      for (Chart chart : charts) {
        for (Line line : chart.series()) {
          out.append(',').append(Fault.number(line.values()[i]));
        }
      }
    }
    return out.append('\n').toString();
  }

  private String page(List<Chart> charts) throws IOException {
    TrialStatistics all = TrialStatistics.of(trial, history);
    List<double[]> bands =
        history.applied.stream()
            .map(one -> new double[] {one.at() / SECOND, Math.min(one.until() / SECOND, seconds)})
            .toList();
    int[] time = new int[seconds];
    Arrays.setAll(time, i -> i);
    StringBuilder faults = new StringBuilder();
    history.applied.forEach(
        one ->
            faults.append(
                row(
                    Fault.number(one.at() / SECOND),
                    one.until() > MOST_SECONDS * SECOND
                        ? "the end"
                        : Fault.number(one.until() / SECOND),
                    one.fault().script())));
    String table =
        row("asked", "" + all.asked())
            + row("served", "" + all.served())
            + row("worth served by its aim", percent(all.worth()))
            + row("tries", all.tries().toString())
            + row(
                "served tries, median and 99 of 100",
                Fault.number(all.p50Ms()) + " ms, " + Fault.number(all.p99Ms()) + " ms")
            + row("writes asked for", "" + all.orders())
            + row("writes that ran twice across the fleet", "" + all.ranTwice())
            + row("writes answered by a server whose disk was lost", "" + all.forgotten())
            + row("writes that ran and went unanswered", "" + all.ranUnanswered());
    StringBuilder words = new StringBuilder();
    verdict.breaches().stream()
        .limit(MOST_WORDS)
        .forEach(
            one ->
                words
                    .append("<li>")
                    .append(escape(one.rule() + ": " + one.words()))
                    .append("</li>"));
    verdict.doubts().stream()
        .limit(MOST_WORDS)
        .forEach(one -> words.append("<li>").append(escape(one)).append("</li>"));
    Map<String, String> parts = new LinkedHashMap<>();
    parts.put("@TITLE@", escape("Trial " + trial.name() + ", seed " + trial.seed()));
    parts.put("@STYLE@", resource(CHARTS + "uPlot.min.css"));
    parts.put("@CLASS@", List.of("good", "bad", "none", "none").get(verdict.status()));
    parts.put(
        "@VERDICT@",
        List.of("All rules held", "A rule broke", "", "No verdict").get(verdict.status()));
    parts.put("@WORDS@", words.toString());
    parts.put("@TABLE@", table);
    parts.put("@FAULTS@", faults.toString());
    parts.put("@SCRIPT@", escape(trial.script()));
    parts.put("@CHARTS@", resource(CHARTS + "uPlot.iife.min.js"));
    parts.put("@DATA@", new Gson().toJson(new Data(time, bands, charts)));
    String page = resource("/mothwing/lab/page.html");
    for (Map.Entry<String, String> one : parts.entrySet()) {
      page = page.replace(one.getKey(), one.getValue());
    }
    return page;
  }

  private static String percent(double share) {
    return String.format(Locale.ROOT, "%.1f%%", 100 * share);
  }

  private static String row(String... cells) {
    StringBuilder out = new StringBuilder("<tr>");
    for (String one : cells) {
      out.append("<td>").append(escape(one)).append("</td>");
    }
    return out.append("</tr>").toString();
  }

  private static String escape(String text) {
    return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
  }

  private static String resource(String name) throws IOException {
    try (InputStream in = Report.class.getResourceAsStream(name)) {
      if (in == null) {
        throw new IOException("the program lacks " + name);
      }
      return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    }
  }
}
