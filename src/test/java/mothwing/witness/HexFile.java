package mothwing.witness;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HexFormat;

/**
 * Recorded bytes as text: 16 bytes a line in hexadecimal, their ASCII behind a number sign, and
 * "zeros N" for longer runs of lines that are all zero. A line that begins with a number sign is a
 * remark.
 */
final class HexFile {
  private static final int WIDTH = 16;
  private static final String ZEROS = "zeros ";
  private static final Path PRODUCED = Path.of("target", "witness");

  private HexFile() {}

  /** The bytes of a recorded file, by its name without ending. */
  static byte[] read(String name) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    for (String line : text(name).split("\n")) {
      String data = line.split("#", 2)[0].strip();
      if (data.startsWith(ZEROS)) {
        bytes.write(new byte[Integer.parseInt(data.substring(ZEROS.length()))]);
      } else {
        bytes.write(HexFormat.of().parseHex(data.replace(" ", "")));
      }
    }
    return bytes.toByteArray();
  }

  /**
   * Fails unless the bytes are those that are recorded; then what was produced is left in
   * target/witness, to be compared.
   */
  static void assertRecorded(String name, byte[] produced) throws IOException {
    String dump = dump(produced);
    String recorded = withoutRemarks(text(name));
    if (!recorded.equals(dump)) {
      Path file = PRODUCED.resolve(name + ".hex");
      Files.createDirectories(file.getParent());
      Files.writeString(file, dump);
    }
    assertEquals(recorded, dump, name);
  }

  private static String text(String name) throws IOException {
    try (InputStream in = HexFile.class.getResourceAsStream("/witness/" + name + ".hex")) {
      return in == null ? "" : new String(in.readAllBytes(), StandardCharsets.US_ASCII);
    }
  }

  private static String withoutRemarks(String text) {
    StringBuilder kept = new StringBuilder();
    text.lines()
        .filter(line -> !line.startsWith("#"))
        .forEach(line -> kept.append(line).append('\n'));
    return kept.toString();
  }

  /** The text of some bytes. */
  static String dump(byte[] bytes) {
    StringBuilder text = new StringBuilder();
    int at = 0;
    while (at < bytes.length) {
      int zeros = zeroLines(bytes, at) * WIDTH;
      if (zeros > WIDTH) {
        text.append(ZEROS).append(zeros).append('\n');
        at += zeros;
      } else {
        text.append(line(Arrays.copyOfRange(bytes, at, Math.min(bytes.length, at + WIDTH))));
        at += WIDTH;
      }
    }
    return text.toString();
  }

  private static int zeroLines(byte[] bytes, int from) {
    int lines = 0;
    int at = from;
    while (at + WIDTH <= bytes.length
        && Arrays.equals(bytes, at, at + WIDTH, new byte[WIDTH], 0, WIDTH)) {
      lines++;
      at += WIDTH;
    }
    return lines;
  }

  private static String line(byte[] some) {
    StringBuilder ascii = new StringBuilder();
    for (byte one : some) {
      ascii.append(one >= ' ' && one <= '~' ? (char) one : '.');
    }
    String hex = HexFormat.ofDelimiter(" ").formatHex(some);
    return String.format("%-47s  #%s\n", hex, ascii);
  }
}
