package mothwing.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A disk that is full, slow or failing when a control file says so: trials prove with it that
 * nothing is acknowledged before it is safe. Only a rig names the file. Its one line is {@code
 * full} (half of what is appended is written, then no more), {@code fail} (writes go through, no
 * force does), {@code slow MS} (each force takes so many milliseconds more), or nothing. It is read
 * before each step, so it takes effect at once.
 *
 * @param disk the real one
 * @param control the control file; where it is missing there is no trouble
 */
record FaultInjectingDisk(Disk disk, Path control) implements Disk {
  /** The system property that names the control file. */
  static final String PROPERTY = "mothwing.disk.control";

  private static final String SLOW = "slow ";

  private String trouble() throws IOException {
    try {
      return Files.readString(control).strip();
    } catch (NoSuchFileException none) {
      return "";
    }
  }

  private void force() throws IOException {
    String now = trouble();
    if (now.equals("fail")) {
      throw new IOException("the disk fails: " + control + " says so");
    } else if (now.startsWith(SLOW)) {
      try {
        TimeUnit.MILLISECONDS.sleep(Long.parseLong(now.substring(SLOW.length())));
      } catch (InterruptedException broken) {
        Thread.currentThread().interrupt();
        throw new IOException("broken off while it was slow", broken);
      }
    }
  }

  @Override
  public List<String> list() throws IOException {
    return disk.list();
  }

  @Override
  public Opened open(String name) throws IOException {
    return new Troubled(disk.open(name));
  }

  @Override
  public void rename(String from, String to) throws IOException {
    disk.rename(from, to);
  }

  @Override
  public void delete(String name) throws IOException {
    disk.delete(name);
  }

  @Override
  public void forceNames() throws IOException {
    force();
    disk.forceNames();
  }

  private final class Troubled implements Opened {
    private final Opened opened;

    Troubled(Opened opened) {
      this.opened = opened;
    }

    @Override
    public long size() throws IOException {
      return opened.size();
    }

    @Override
    public int read(ByteBuffer into, long from) throws IOException {
      return opened.read(into, from);
    }

    @Override
    public void append(ByteBuffer bytes) throws IOException {
      if (trouble().equals("full")) {
        bytes.limit(bytes.position() + bytes.remaining() / 2);
        opened.append(bytes);
        throw new IOException("no space is left: " + control + " says so");
      }
      opened.append(bytes);
    }

    @Override
    public void force() throws IOException {
      FaultInjectingDisk.this.force();
      opened.force();
    }

    @Override
    public void truncate(long size) throws IOException {
      opened.truncate(size);
    }

    @Override
    public void close() throws IOException {
      opened.close();
    }
  }
}
