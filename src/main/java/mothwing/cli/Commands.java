package mothwing.cli;

import static mothwing.cli.Command.option;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import mothwing.adapter.Adapter;
import mothwing.cli.Command.Streams;
import mothwing.trial.MembershipStatistics;
import mothwing.trial.Trials;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.commons.cli.help.HelpFormatter;
import org.apache.commons.cli.help.TextHelpAppendable;

/** The sub-commands of the command line. */
public final class Commands {
  private static final int USAGE = 2;
  private static final Map<String, Command> ALL = new LinkedHashMap<>();

  static {
    add(
        new Command(
            "serve",
            "run one shop server",
            (line, to) ->
                Serve.run(
                    config(line),
                    line.getOptionValue("site", line.getOptionValue("ajp")),
                    to.out()),
            option(
                "c", "config", "FILE", "its configuration; else the file that EDGE_CONFIG names"),
            option(
                null,
                "site",
                "FILE",
                "our own settings script: where AJP is spoken, which fleet this is of"),
            option("a", "ajp", "FILE", "the same by its older name; also the older form, .json")));
    add(
        new Command(
            "adapter",
            "the decisions on the simulator's wire",
            (line, to) -> new Adapter(to.in(), to.out(), to.err()).run()));
    add(
        new Command(
            "counts",
            "the counters of a running shop server",
            (line, to) ->
                Counts.run(
                    line.getOptionValue("server", System.getenv().getOrDefault("EDGE_LISTEN", "")),
                    to.out()),
            option(
                "s",
                "server",
                "HOST:PORT",
                "where it listens for FastCGI; else as EDGE_LISTEN says")));
    add(
        new Command(
            "manage",
            "CALL",
            "make a call at the operators' door: HEALTH, DUMP, MEMBERS, LEAVE or JOIN",
            List.of(
                option(
                    "s", "server", "HOST:PORT", "where the door is; else as EDGE_MANAGEMENT says")),
            (line, to) -> Manage.run(door(line), line.getArgList().get(0), to.out())));
    add(
        new Command(
            "check",
            "say what is wrong with a configuration",
            (line, to) -> Serve.check(config(line), to.out()),
            option(
                "c", "config", "FILE", "the configuration; else the file that EDGE_CONFIG names")));
    add(
        new Command(
            "settings check",
            "FILE",
            "say what is wrong with a settings script",
            List.of(),
            (line, to) -> SettingsCheck.run(Path.of(line.getArgList().get(0)), to.out())));
    add(
        new Command(
            "dns",
            "serve zones and take updates",
            (line, to) -> Dns.run(Path.of(line.getOptionValue("settings")), to.out()),
            Command.required("settings", "FILE", "the settings script")));
    Option origin = Command.required("origin", "NAME", "the zone's name");
    add(
        new Command(
            "zone check",
            "FILE",
            "say what is wrong with a zone file",
            List.of(origin),
            (line, to) ->
                ZoneCommands.check(
                    line.getArgList().get(0), line.getOptionValue("origin"), to.out())));
    add(
        new Command(
            "zone diff",
            "A B",
            "say what differs between two zone files",
            List.of(origin),
            (line, to) ->
                ZoneCommands.diff(
                    line.getArgList().get(0),
                    line.getArgList().get(1),
                    line.getOptionValue("origin"),
                    to.out())));
    add(
        new Command(
            "zone update",
            "send the dynamic updates on standard input, a line each",
            (line, to) ->
                ZoneUpdate.run(
                    line.getOptionValue("server"),
                    line.getOptionValue("zone"),
                    line.getOptionValue("key"),
                    to.in(),
                    to.out()),
            Command.required("server", "HOST:PORT", "where the zone is served"),
            Command.required("zone", "NAME", "the zone's name"),
            Command.required(
                "key", "NAME:FILE", "the key and the file with its secret in base64")));
    Option report = option("r", "report", "DIR", "where to write the history and the page");
    Option environment =
        option(
            "e",
            "server-env",
            "NAME=VALUE",
            "a variable in the environment of each server; may be given again");
    add(
        new Command(
            "demo",
            "play a built-in trial: three servers, one killed, one link cut",
            (line, to) -> Trials.demo(path(line, "report"), to.out()),
            report));
    add(
        new Command(
            "trial run",
            "FILE",
            "play the trial of a script, and judge it",
            List.of(
                option("s", "seed", "N", "in place of the script's"),
                Command.mark("simulate", "on virtual time"),
                option("n", "seeds", "K", "so many seeds in turn"),
                report,
                environment),
            (line, to) -> Trials.run(Path.of(line.getArgList().get(0)), asked(line), to.out())));
    add(
        new Command(
            "trial shrink",
            "FILE",
            "make a failing trial smaller; prints a script that fails alike",
            List.of(
                option("s", "seed", "N", "in place of the script's"),
                Command.mark("simulate", "on virtual time"),
                environment),
            (line, to) -> Trials.shrink(Path.of(line.getArgList().get(0)), asked(line), to.out())));
    Option door =
        option(
            "s",
            "server",
            "HOST:PORT",
            "where its operators' door is; else as EDGE_MANAGEMENT says");
    add(
        new Command(
            "members show",
            "what a running shop server holds of its fleet",
            (line, to) -> Members.show(door(line), line.hasOption("json"), to.out()),
            door,
            Command.mark("json", "as one JSON object")));
    add(
        new Command(
            "members watch",
            "the same, again whenever it has changed",
            (line, to) -> Members.watch(door(line), line.hasOption("json"), to.out()),
            door,
            Command.mark("json", "as one JSON object a line")));
    add(
        new Command(
            "members simulate",
            "measure membership on virtual time: kills, a split, slow members, lost messages",
            (line, to) ->
                MembershipStatistics.print(
                    (int) number(line, "members", 2, 10_000),
                    number(line, "seed", 0, Long.MAX_VALUE),
                    (double) number(line, "seconds", 1, 1_000_000),
                    to.out()),
            Command.required("members", "N", "how many"),
            Command.required("seed", "N", "of all random numbers"),
            Command.required("seconds", "S", "for which slow members are looked at")));
    add(
        new Command(
            "version",
            "print the version",
            (line, to) -> {
              to.out()
                  .println("mothwing " + Commands.class.getPackage().getImplementationVersion());
              return 0;
            }));
    add(new Command("help", "print this", (line, to) -> help(to.out())));
  }

  private Commands() {}

  private static void add(Command command) {
    ALL.put(command.name(), command);
  }

  private static Path path(CommandLine line, String option) {
    return line.hasOption(option) ? Path.of(line.getOptionValue(option)) : null;
  }

  private static Trials.Asked asked(CommandLine line) throws IOException {
    return new Trials.Asked(
        line.hasOption("seed") ? number(line, "seed", 0, Long.MAX_VALUE) : null,
        line.hasOption("simulate"),
        line.hasOption("seeds") ? (int) number(line, "seeds", 1, 1_000_000) : 1,
        path(line, "report"),
        environment(line));
  }

  private static Map<String, String> environment(CommandLine line) throws IOException {
    Map<String, String> all = new LinkedHashMap<>();
    String[] given =
        line.hasOption("server-env") ? line.getOptionValues("server-env") : new String[0];
    for (String one : given) {
      int equals = one.indexOf('=');
      if (equals < 1) {
        throw new IOException("option --server-env: \"" + one + "\" is not NAME=VALUE");
      }
      all.put(one.substring(0, equals), one.substring(equals + 1));
    }
    return all;
  }

  private static long number(CommandLine line, String option, long least, long most)
      throws IOException {
    try {
      long value = Long.parseLong(line.getOptionValue(option));
      if (value >= least && value <= most) {
        return value;
      }
    } catch (NumberFormatException none) {
      // said below
    }
    throw new IOException(
        "--"
            + option
            + " is "
            + line.getOptionValue(option)
            + ", expected "
            + least
            + " to "
            + most);
  }

  private static String door(CommandLine line) {
    return line.getOptionValue("server", System.getenv().getOrDefault("EDGE_MANAGEMENT", ""));
  }

  private static String config(CommandLine line) {
    return line.getOptionValue("config", System.getenv().getOrDefault("EDGE_CONFIG", ""));
  }

  /**
   * Runs a sub-command.
   *
   * @param arguments its name and options
   * @param in standard input
   * @param out standard output
   * @param err standard error
   * @return the exit status: 0 for good, 1 for faults found, 2 for a call or an input that makes no
   *     sense
   * @throws IOException when standard input or output breaks
   * @throws InterruptedException when a wait is broken off
   */
  public static int run(String[] arguments, InputStream in, PrintStream out, PrintStream err)
      throws IOException, InterruptedException {
    Command command = null;
    int words = Math.min(2, arguments.length);
    while (words > 0 && command == null) {
      command = ALL.get(String.join(" ", Arrays.copyOf(arguments, words)));
      words -= command == null ? 1 : 0;
    }
    if (command == null) {
      help(err);
      return USAGE;
    }
    CommandLine line;
    try {
      Options options = new Options();
      command.options().forEach(options::addOption);
      line =
          new DefaultParser()
              .parse(options, Arrays.copyOfRange(arguments, words, arguments.length));
      List<String> given = line.getArgList();
      if (given.size() > command.operandCount()) {
        throw new ParseException("unexpected: " + given.get(command.operandCount()));
      } else if (given.size() < command.operandCount()) {
        throw new ParseException("expected: " + command.operands());
      }
    } catch (ParseException wrong) {
      err.println(command.name() + ": " + wrong.getMessage());
      return USAGE;
    }
    return reported(command, line, new Streams(in, out, err));
  }

  private static int help(PrintStream out) throws IOException {
    HelpFormatter formatter =
        HelpFormatter.builder()
            .setHelpAppendable(new TextHelpAppendable(out))
            .setShowSince(false)
            .get();
    out.println("usage: java -jar mothwing.jar COMMAND [OPTIONS]");
    for (Command one : ALL.values()) {
      Options options = new Options();
      one.options().forEach(options::addOption);
      String syntax = (one.name() + " " + formatter.toSyntaxOptions(options)).strip();
      out.println();
      out.println("  " + (syntax + " " + one.operands()).strip());
      out.println("      " + one.about());
      for (Option option : one.options()) {
        out.printf(
            "      %-24s %s%n",
            (option.getOpt() == null ? "" : "-" + option.getOpt() + ", ")
                + "--"
                + option.getLongOpt()
                + (option.hasArg() ? " " + option.getArgName() : ""),
            option.getDescription());
      }
    }
    return 0;
  }

  /** What an operator can put right is one plain line, not a stack. */
  private static int reported(Command command, CommandLine line, Streams streams)
      throws InterruptedException {
    String name = command.name();
    try {
      return command.work().run(line, streams);
    } catch (NoSuchFileException missing) {
      streams.err().println(name + ": no such file: " + missing.getMessage());
    } catch (IOException | IllegalArgumentException bad) {
      streams.err().println(name + ": " + bad.getMessage());
    }
    return USAGE;
  }
}
