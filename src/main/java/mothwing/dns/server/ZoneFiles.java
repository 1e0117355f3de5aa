package mothwing.dns.server;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.LinkedHashMap;
import java.util.Map;
import mothwing.dns.zone.DomainName;
import mothwing.dns.zone.ZoneFile;
import mothwing.script.Sources;

/**
 * Reads zone files, and those they include from below their folder, and knows whether somebody
 * wrote meanwhile.
 */
public final class ZoneFiles {
  private static final int MOST_BYTES = 512 << 20;
  private static final long QUIET_MS =
      200; // since the last write: an editor that writes in steps is not between them

  /** A file as it stood when it was read. */
  private record Stamp(long size, long modified, Object identity) {
    static Stamp of(Path file) throws IOException {
      BasicFileAttributes now = Files.readAttributes(file, BasicFileAttributes.class);
      return new Stamp(now.size(), now.lastModifiedTime().toMillis(), now.fileKey());
    }
  }

  /** A file that was written while it was read: it may be read again in a moment. */
  public static final class Unsettled extends IOException {
    private static final long serialVersionUID = 1L;

    Unsettled(Path file) {
      super(file.getFileName() + " is being written");
    }
  }

  private ZoneFiles() {}

  /**
   * Reads a zone.
   *
   * @param file its file
   * @param origin its origin
   * @param mostRecords most records that are taken
   * @param quiet whether a file that was written in the last moment counts as being written still
   * @return what was read
   * @throws Unsettled where a file was written meanwhile
   * @throws IOException where the file cannot be read
   */
  public static ZoneFile.Result read(Path file, DomainName origin, int mostRecords, boolean quiet)
      throws IOException {
    Path folder = file.toAbsolutePath().getParent();
    Map<Path, Stamp> stamps = new LinkedHashMap<>();
    ZoneFile.Result result =
        ZoneFile.read(
            file.getFileName().toString(),
            name -> {
              Path path = Sources.inside(folder, name);
              Stamp stamp = Stamp.of(path);
              if (quiet && stamp.modified() > System.currentTimeMillis() - QUIET_MS) {
                throw new Unsettled(path);
              }
              stamps.put(path, stamp);
              try (InputStream in = Files.newInputStream(path)) {
                byte[] text = in.readNBytes(MOST_BYTES + 1);
                if (text.length > MOST_BYTES) {
                  throw new IOException(name + " has more than " + MOST_BYTES + " bytes");
                }
                return text;
              }
            },
            origin,
            mostRecords);
    for (Map.Entry<Path, Stamp> one : stamps.entrySet()) {
      if (!one.getValue().equals(Stamp.of(one.getKey()))) {
        throw new Unsettled(one.getKey());
      }
    }
    if (quiet
        && result.faults().stream().anyMatch(one -> one.reason().endsWith(" is being written"))) {
      throw new Unsettled(file); // a file that it includes
    }
    return result;
  }
}
