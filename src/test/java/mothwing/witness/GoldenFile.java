package mothwing.witness;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import io.netty.buffer.ByteBuf;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;

/**
 * A recorded conversation: a text resource whose lines are steps, each with the output that
 * followed it. Lines that begin with {@code #} are remarks, lines that begin with {@code <} are
 * recorded output, and all others are steps: a word and the rest of the line. A replay takes the
 * steps from the file and compares all output with the recorded one. What came instead is left
 * under {@code target/witness} for whoever looks into a difference.
 */
final class GoldenFile {
  /** Carries out the steps of a conversation. */
  @FunctionalInterface
  interface Steps {
    /** Carries out one step. */
    void run(String word, String rest);
  }

  private static final String OUTPUT = "< ";

  private final String name;
  private final List<String> recorded;
  private final List<String> replayed = new ArrayList<>();

  /** Reads a recorded conversation. */
  GoldenFile(String name) throws IOException {
    this.name = name;
    try (InputStream in = GoldenFile.class.getResourceAsStream("/witness/" + name)) {
      assertNotNull(in, "no recorded file " + name);
      recorded = new String(in.readAllBytes(), StandardCharsets.UTF_8).lines().toList();
    }
  }

  /** The recorded lines of output, in their order, without their mark. */
  List<String> outputs() {
    return recorded.stream()
        .filter(line -> line.startsWith(OUTPUT))
        .map(line -> line.substring(OUTPUT.length()))
        .toList();
  }

  /** Notes a line of output of the step that is carried out. */
  void output(String line) {
    replayed.add(OUTPUT + line);
  }

  /** Notes all bytes that were written to a channel as text with its line ends escaped. */
  void outputText(String mark, EmbeddedChannel channel) {
    String text = new String(written(channel), StandardCharsets.ISO_8859_1);
    if (!text.isEmpty()) {
      output(mark + escaped(text));
    }
  }

  /** Notes all bytes that were written to a channel in hexadecimal digits. */
  void outputHex(EmbeddedChannel channel) {
    byte[] bytes = written(channel);
    if (bytes.length > 0) {
      output(HexFormat.of().formatHex(bytes));
    }
  }

  /** Carries out all steps, and compares the output with the recorded one. */
  void replay(Steps steps) throws IOException {
    for (String line : recorded) {
      if (line.startsWith(OUTPUT)) {
        continue;
      }
      replayed.add(line);
      if (!line.isBlank() && !line.startsWith("#")) {
        int space = line.indexOf(' ');
        steps.run(
            space < 0 ? line : line.substring(0, space),
            space < 0 ? "" : line.substring(space + 1));
      }
    }
    compare();
  }

  private void compare() throws IOException {
    if (!recorded.equals(replayed)) {
      Path came = Path.of("target", "witness", name);
      Files.createDirectories(came.getParent());
      Files.write(came, replayed);
    }
    for (int i = 0; i < Math.min(recorded.size(), replayed.size()); i++) {
      int number = i + 1;
      assertEquals(
          recorded.get(i), replayed.get(i), () -> "first difference in " + name + ":" + number);
    }
    assertEquals(recorded.size(), replayed.size(), "lines of " + name);
  }

  /** The bytes that a text with escapes stands for. */
  static byte[] bytes(String escaped) {
    return escaped.translateEscapes().getBytes(StandardCharsets.ISO_8859_1);
  }

  /** The bytes of hexadecimal digits, which blanks may divide. */
  static byte[] hex(String digits) {
    return HexFormat.of().parseHex(digits.replace(" ", ""));
  }

  /** Text on one line: what is no plain character stands as an escape that Java reads again. */
  static String escaped(String text) {
    StringBuilder all = new StringBuilder();
    for (int i = 0; i < text.length(); i++) {
      char one = text.charAt(i);
      switch (one) {
        case '\r' -> all.append("\\r");
        case '\n' -> all.append("\\n");
        case '\\' -> all.append("\\\\");
        default -> all.append(one < ' ' || one > '~' ? String.format("\\%03o", (int) one) : one);
      }
    }
    return all.toString();
  }

  private static byte[] written(EmbeddedChannel channel) {
    channel.runPendingTasks();
    List<byte[]> parts = new ArrayList<>();
    int length = 0;
    ByteBuf out;
    while ((out = channel.readOutbound()) != null) {
      byte[] part = new byte[out.readableBytes()];
      out.readBytes(part);
      out.release();
      parts.add(part);
      length += part.length;
    }
    byte[] all = new byte[length];
    int at = 0;
    for (byte[] part : parts) {
      System.arraycopy(part, 0, all, at, part.length);
      at += part.length;
    }
    return all;
  }
}
