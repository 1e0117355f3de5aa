import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** One case: its record, its temporary folder and the processes that it started. */
final class Lab implements AutoCloseable {
  static final int BROKEN = 1;
  static final int HELD = 0;
  static final int NOT_RUN = 2;

  /** Thrown if the case cannot run, which says nothing about the rule. */
  static final class NotRun extends Exception {
    private static final long serialVersionUID = 1L;

    NotRun(String reason) {
      super(reason);
    }
  }

  /** The body of a case. Returns whether the rule was broken. */
  interface Case {
    boolean run(Lab lab, boolean trouble) throws Exception;
  }

  final Path root = Path.of("").toAbsolutePath();
  final Path temp;
  private final PrintWriter record;
  private final List<Process> processes = new ArrayList<>();
  private final long startedAt = System.currentTimeMillis();

  private Lab(Path folder) throws IOException {
    record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
    temp = Files.createTempDirectory("review");
  }

  /** Runs a case and ends this program with its result: 1 broken, 0 held, 2 not run. */
  static void play(String[] arguments, Case body) throws IOException {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int result = NOT_RUN;
    try (Lab lab = new Lab(Path.of(arguments[0]))) {
      lab.note("trouble=" + trouble);
      try {
        result = body.run(lab, trouble) ? BROKEN : HELD;
      } catch (NotRun reason) {
        lab.note("NOT RUN: " + reason.getMessage());
      } catch (Exception failure) {
        lab.note("NOT RUN: " + failure);
      }
      lab.note("result=" + (result == BROKEN ? "broken" : result == HELD ? "held" : "not run"));
    }
    Runtime.getRuntime().halt(result);
  }

  /** Writes a line to the record, with the milliseconds since the start of the case. */
  synchronized void note(String line) {
    String text = String.format("%7d %s", System.currentTimeMillis() - startedAt, line);
    record.println(text);
    System.out.println(text);
  }

  static InetAddress loopback() {
    return InetAddress.getLoopbackAddress();
  }

  static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, loopback())) {
      return socket.getLocalPort();
    }
  }

  /** The value of a key of the deploy file. */
  private String deploy(String key) throws IOException {
    Pattern line = Pattern.compile("(?m)^" + key + "\\s*=\\s*\"([^\"]*)\"");
    Matcher found = line.matcher(Files.readString(root.resolve("deploy/balancer.toml")));
    if (!found.find()) {
      throw new IOException("deploy/balancer.toml has no " + key);
    }
    return found.group(1);
  }

  /**
   * Starts the deploy file's run command with the variables of the platform, and with its limit on
   * file descriptors.
   */
  Process server(String name, int sockets, Map<String, String> variables, Path tmpdir)
      throws IOException {
    Files.createDirectories(tmpdir);
    return start(name, "ulimit -n " + sockets + "; " + deploy("run"), variables, tmpdir);
  }

  /** Starts a shell command in the root of the repository; its output goes to NAME.log. */
  Process start(String name, String command, Map<String, String> variables, Path tmpdir)
      throws IOException {
    ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command);
    builder.directory(root.toFile());
    builder.environment().putAll(variables);
    builder.environment().put("TMPDIR", tmpdir.toString());
    builder.redirectErrorStream(true).redirectOutput(log(name).toFile());
    Process process = builder.start();
    processes.add(process);
    note("started " + name + " pid=" + process.pid());
    return process;
  }

  Path log(String name) {
    return temp.resolve(name + ".log");
  }

  /** Sends a signal to a process that this case started. */
  void signal(Process process, String signal) throws IOException, InterruptedException {
    note("SIG" + signal + " to pid=" + process.pid());
    new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
  }

  /** Waits until a line of a log matches. */
  void awaitLine(String name, String pattern, int count, long millis) throws Exception {
    Pattern line = Pattern.compile(pattern);
    long until = System.currentTimeMillis() + millis;
    while (System.currentTimeMillis() < until) {
      if (Files.exists(log(name))
          && Files.readAllLines(log(name)).stream().filter(one -> line.matcher(one).find()).count()
              >= count) {
        return;
      }
      Thread.sleep(20);
    }
    throw new NotRun("no line " + pattern + " in the log of " + name);
  }

  /** Copies the last lines of a log to the record. */
  void tail(String name, int lines) throws IOException {
    List<String> all = Files.readAllLines(log(name));
    for (String line : all.subList(Math.max(0, all.size() - lines), all.size())) {
      note(name + ": " + line);
    }
  }

  /** Runs a shell command to its end and returns its output. */
  String output(String command, String input) throws Exception {
    ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command);
    builder.directory(root.toFile()).redirectErrorStream(true);
    Process process = builder.start();
    processes.add(process);
    process.getOutputStream().write(input.getBytes(StandardCharsets.UTF_8));
    process.getOutputStream().close();
    StringBuilder text = new StringBuilder();
    try (BufferedReader reader =
        new BufferedReader(
            new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
      for (String line = reader.readLine(); line != null; line = reader.readLine()) {
        text.append(line).append('\n');
      }
    }
    process.waitFor(20, TimeUnit.SECONDS);
    return text.append("status=").append(process.exitValue()).toString();
  }

  @Override
  public void close() {
    for (Process process : processes) {
      process.descendants().forEach(ProcessHandle::destroyForcibly);
      process.destroyForcibly();
    }
    for (Process process : processes) {
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException interrupted) {
        Thread.currentThread().interrupt();
      }
    }
    try (Stream<Path> files = Files.walk(temp)) {
      files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    } catch (IOException left) {
      note("left " + temp);
    }
    record.close();
  }
}
