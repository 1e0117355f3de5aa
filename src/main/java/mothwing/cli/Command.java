package mothwing.cli;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;

/**
 * One sub-command: its words, what it takes and what it does. Help is made of the same options.
 *
 * @param name its one or two words
 * @param operands what stands after its options, as help shows it; each word in capitals is one
 *     operand
 * @param about one line on it
 * @param options its options
 * @param work what it does
 */
record Command(String name, String operands, String about, List<Option> options, Work work) {
  /** The streams of the process. */
  record Streams(InputStream in, PrintStream out, PrintStream err) {}

  /** Work of a sub-command. */
  interface Work {
    /** Gives the exit status. */
    int run(CommandLine line, Streams streams) throws IOException, InterruptedException;
  }

  Command(String name, String about, Work work, Option... options) {
    this(name, "", about, List.of(options), work);
  }

  int operandCount() {
    return operands.isEmpty() ? 0 : operands.split(" ").length;
  }

  /** An option with a value, which help shows in capitals. */
  static Option option(String letter, String name, String value, String about) {
    return Option.builder(letter).longOpt(name).hasArg().argName(value).desc(about).get();
  }

  /** An option without a value. */
  static Option mark(String name, String about) {
    return Option.builder().longOpt(name).desc(about).get();
  }

  /** An option that must be given. */
  static Option required(String name, String value, String about) {
    return Option.builder().longOpt(name).hasArg().argName(value).desc(about).required().get();
  }
}
