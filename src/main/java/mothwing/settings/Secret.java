package mothwing.settings;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.Base64;

/** Reads the secrets of TSIG keys from their files. */
public final class Secret {
  private static final int MAX_FILE_BYTES = 4096;

  // Shorter secrets can be guessed.
  private static final int MIN_SECRET_BYTES = 16;

  private Secret() {}

  /**
   * Reads the secret of a key.
   *
   * @param key the key
   * @return the bytes of the secret
   * @throws IOException if the file cannot be read, is not base64 of 16 bytes or more, or is longer
   *     than 4096 bytes; the message names the key and the file, never their content
   */
  public static byte[] read(Site.Key key) throws IOException {
    String source = "key " + key.name() + ": " + key.secretFile().getFileName();
    byte[] text;
    try (InputStream in = Files.newInputStream(key.secretFile())) {
      text = in.readNBytes(MAX_FILE_BYTES + 1);
    }
    try {
      byte[] secret =
          Base64.getDecoder().decode(new String(text, StandardCharsets.ISO_8859_1).strip());
      if (text.length > MAX_FILE_BYTES || secret.length < MIN_SECRET_BYTES) {
        throw new InvalidInputException(
            source
                + " has a secret of "
                + secret.length
                + " bytes, expected "
                + MIN_SECRET_BYTES
                + " to "
                + MAX_FILE_BYTES / 2);
      }
      return secret;
    } catch (IllegalArgumentException notBase64) {
      throw new InvalidInputException(source + " is not base64");
    }
  }
}
