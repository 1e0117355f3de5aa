package mothwing.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/**
 * In-memory disk that keeps written and forced content apart and fails the operations that a test
 * selects. On a simulated power loss, content that was not forced is lost, kept or torn at random.
 * Of the directory changes that were not forced, a random number of the oldest survives.
 */
public final class FaultyDisk implements Disk {
  private static final class Content {
    private byte[] written = {};
    private byte[] forced = {};
  }

  private final Random random;
  private Map<String, Content> files = new TreeMap<>();
  private Map<String, Content> forcedFiles = new TreeMap<>();
  private final List<Map<String, Content>> unforcedDirectories = new ArrayList<>();
  private int operations;
  private int failFrom = Integer.MAX_VALUE;
  private int failUntil = Integer.MAX_VALUE;

  /** Creates an empty disk. */
  public FaultyDisk(long seed) {
    random = new Random(seed);
  }

  /**
   * Fails operations from {@code from} (inclusive) to {@code until} (exclusive); 1 is the next
   * operation.
   */
  public void failOperations(int from, int until) {
    failFrom = operations + from;
    failUntil = until == Integer.MAX_VALUE ? until : operations + until;
  }

  /** Returns the number of operations so far. */
  public int operations() {
    return operations;
  }

  /** Simulates a power loss: forced data survives, and a random part of the data written since. */
  public void powerLoss() {
    int kept = random.nextInt(unforcedDirectories.size() + 1);
    files = kept == 0 ? forcedFiles : unforcedDirectories.get(kept - 1);
    files = new TreeMap<>(files);
    forcedFiles = new TreeMap<>(files);
    unforcedDirectories.clear();
    for (Content content : files.values()) {
      content.written = surviving(content);
      content.forced = content.written;
    }
    failOperations(Integer.MAX_VALUE - operations - 1, Integer.MAX_VALUE);
  }

  private byte[] surviving(Content content) {
    if (Arrays.equals(content.written, content.forced) || random.nextInt(4) == 0) {
      return content.forced;
    }
    if (content.written.length <= content.forced.length) {
      // A truncation that was not forced.
      return random.nextBoolean() ? content.written : content.forced;
    }
    byte[] torn =
        Arrays.copyOf(
            content.written,
            content.forced.length
                + random.nextInt(content.written.length - content.forced.length + 1));
    for (int i = content.forced.length;
        i < torn.length && random.nextBoolean();
        i += 1 + random.nextInt(64)) {
      // Part of a page that did not reach the disk.
      torn[i] = 0;
    }
    return torn;
  }

  /** Flips a random bit of the byte at an offset of a file. */
  public void flipBit(String name, int offset) {
    Content content = files.get(name);
    content.written = content.written.clone();
    content.written[offset] = (byte) (content.written[offset] ^ 1 << random.nextInt(8));
    content.forced = content.written;
  }

  /** Returns the length of a file in bytes. */
  public int size(String name) {
    return files.get(name).written.length;
  }

  /** Counts an operation, and fails it if the test selected it. */
  private void countOrFail() throws IOException {
    operations++;
    if (operations >= failFrom && operations < failUntil) {
      throw new IOException("no space left on device");
    }
  }

  @Override
  public List<String> list() {
    return List.copyOf(files.keySet());
  }

  @Override
  public void rename(String from, String to) throws IOException {
    countOrFail();
    files.put(to, files.remove(from));
    unforcedDirectories.add(new TreeMap<>(files));
  }

  @Override
  public void delete(String name) throws IOException {
    countOrFail();
    files.remove(name);
    unforcedDirectories.add(new TreeMap<>(files));
  }

  @Override
  public void forceDirectory() throws IOException {
    countOrFail();
    forcedFiles = new TreeMap<>(files);
    unforcedDirectories.clear();
  }

  @Override
  public OpenFile open(String name) throws IOException {
    if (!files.containsKey(name)) {
      countOrFail();
      files.put(name, new Content());
      unforcedDirectories.add(new TreeMap<>(files));
    }
    Content content = files.get(name);
    return new OpenFile() {
      @Override
      public long size() {
        return content.written.length;
      }

      @Override
      public int read(ByteBuffer buffer, long offset) {
        int count =
            (int) Math.max(0, Math.min(buffer.remaining(), content.written.length - offset));
        buffer.put(content.written, (int) offset, count);
        return count;
      }

      @Override
      public void append(ByteBuffer bytes) throws IOException {
        int length = bytes.remaining();
        int offset = content.written.length;
        try {
          countOrFail();
        } catch (IOException full) {
          // A random part of the bytes still fits.
          length = random.nextInt(length + 1);
          throw full;
        } finally {
          content.written = Arrays.copyOf(content.written, offset + length);
          bytes.get(content.written, offset, length);
        }
      }

      @Override
      public void force() throws IOException {
        countOrFail();
        content.forced = content.written;
      }

      @Override
      public void truncate(long size) throws IOException {
        countOrFail();
        content.written = Arrays.copyOf(content.written, (int) size);
      }

      @Override
      public void close() {}
    };
  }
}
