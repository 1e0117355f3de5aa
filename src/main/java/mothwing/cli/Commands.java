package mothwing.cli;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.nio.file.NoSuchFileException;
import java.util.Arrays;
import mothwing.adapter.Adapter;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** The sub-commands of the command line. */
public final class Commands {
    private static final int USAGE = 2;
    private static final String HELP = """
            usage: java -jar mothwing.jar COMMAND [OPTIONS]
              serve [-c FILE] [-a FILE]   run one shop server
                  -c, --config FILE       its configuration; else the file that EDGE_CONFIG names
                  -a, --ajp FILE          also speak AJP/1.3 where this file says
              adapter                     the decisions on the simulator's wire
              counts [-s HOST:PORT]       the counters of a running shop server
                  -s, --server HOST:PORT  where it listens for FastCGI; else as EDGE_LISTEN says
              check [-c FILE]             say what is wrong with a configuration
              version                     print the version
              help                        print this
            """;

    private Commands() {
    }

    /**
     * Runs a sub-command.
     *
     * @param arguments its name and options
     * @param in standard input
     * @param out standard output
     * @param err standard error
     * @return the exit status
     * @throws IOException when standard input or output breaks
     * @throws InterruptedException when a wait is broken off
     */
    public static int run(String[] arguments, InputStream in, PrintStream out, PrintStream err)
            throws IOException, InterruptedException {
        String name = arguments.length == 0 ? "" : arguments[0];
        CommandLine line;
        try {
            line = new DefaultParser().parse(options(name),
                    Arrays.copyOfRange(arguments, Math.min(1, arguments.length), arguments.length));
            if (!line.getArgList().isEmpty()) {
                throw new ParseException("unexpected: " + line.getArgList().get(0));
            }
        } catch (ParseException wrong) {
            err.println(name + ": " + wrong.getMessage());
            return USAGE;
        }
        String config = line.getOptionValue("config", System.getenv().getOrDefault("EDGE_CONFIG", ""));
        switch (name) {
            case "serve":
                return reported(name, err, () -> Serve.run(config, line.getOptionValue("ajp"), out));
            case "check":
                return reported(name, err, () -> Serve.check(config, out));
            case "counts":
                String server = line.getOptionValue("server", System.getenv().getOrDefault("EDGE_LISTEN", ""));
                return reported(name, err, () -> Counts.run(server, out));
            case "adapter":
                return new Adapter(in, out, err).run();
            case "version":
                out.println("mothwing " + Commands.class.getPackage().getImplementationVersion());
                return 0;
            case "help":
                out.print(HELP);
                return 0;
            default:
                err.print(HELP);
                return USAGE;
        }
    }

    private static Options options(String name) {
        Options all = new Options();
        if (name.equals("serve") || name.equals("check")) {
            all.addOption("c", "config", true, "the configuration");
        }
        if (name.equals("serve")) {
            all.addOption("a", "ajp", true, "where AJP is spoken");
        }
        if (name.equals("counts")) {
            all.addOption("s", "server", true, "where the server listens");
        }
        return all;
    }

    /** Work of a sub-command. */
    private interface Work {
        int run() throws IOException, InterruptedException;
    }

    /** What an operator can put right is one plain line, not a stack. */
    private static int reported(String name, PrintStream err, Work work) throws InterruptedException {
        try {
            return work.run();
        } catch (NoSuchFileException missing) {
            err.println(name + ": no such file: " + missing.getMessage());
        } catch (IOException | IllegalArgumentException bad) {
            err.println(name + ": " + bad.getMessage());
        }
        return USAGE;
    }
}
