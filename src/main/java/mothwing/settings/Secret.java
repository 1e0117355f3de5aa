package mothwing.settings;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.Base64;

/** Reads the secrets of keys. */
public final class Secret {
  private static final int MOST_BYTES = 4096;
  private static final int LEAST_SECRET = 16; // bytes: shorter ones can be guessed

  private Secret() {}

  /**
   * Reads a key's secret.
   *
   * @param key the key
   * @return its bytes
   * @throws IOException where the file cannot be read or is not base64 of 16 bytes or more; the
   *     message names the key and the file, never their content
   */
  public static byte[] read(Site.Key key) throws IOException {
    String where = "key " + key.name() + ": " + key.secretFile().getFileName();
    byte[] text;
    try (InputStream in = Files.newInputStream(key.secretFile())) {
      text = in.readNBytes(MOST_BYTES + 1);
    }
    try {
      byte[] secret =
          Base64.getDecoder().decode(new String(text, StandardCharsets.ISO_8859_1).strip());
      if (text.length > MOST_BYTES || secret.length < LEAST_SECRET) {
        throw new InvalidInputException(
            where
                + " has a secret of "
                + secret.length
                + " bytes, expected "
                + LEAST_SECRET
                + " to "
                + MOST_BYTES / 2);
      }
      return secret;
    } catch (IllegalArgumentException not) {
      throw new InvalidInputException(where + " is not base64");
    }
  }
}
