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
 * A disk in memory that tells what was written from what was forced, and fails at an operation that
 * a test names. What was not forced may be lost, in part or whole, or come back torn, when the
 * power goes; names likewise, in order.
 */
public final class FaultyDisk implements Disk {
  private static final class Content {
    private byte[] written = {};
    private byte[] forced = {};
  }

  private final Random random;
  private Map<String, Content> names = new TreeMap<>();
  private Map<String, Content> forcedNames = new TreeMap<>();
  private final List<Map<String, Content>> pendingNames = new ArrayList<>();
  private int operations;
  private int failFrom = Integer.MAX_VALUE;
  private int failUntil = Integer.MAX_VALUE;

  /** Makes an empty disk. */
  public FaultyDisk(long seed) {
    random = new Random(seed);
  }

  /** Lets operations fail, from one number after the present one on to another. */
  public void failOperations(int from, int until) {
    failFrom = operations + from;
    failUntil = until == Integer.MAX_VALUE ? until : operations + until;
  }

  /** How many operations there were. */
  public int operations() {
    return operations;
  }

  /** The power goes: what is left is what was forced, and any part of what was written since. */
  public void powerLoss() {
    int kept = random.nextInt(pendingNames.size() + 1);
    names = kept == 0 ? forcedNames : pendingNames.get(kept - 1);
    names = new TreeMap<>(names);
    forcedNames = new TreeMap<>(names);
    pendingNames.clear();
    for (Content one : names.values()) {
      one.written = left(one);
      one.forced = one.written;
    }
    failOperations(Integer.MAX_VALUE - operations - 1, Integer.MAX_VALUE);
  }

  private byte[] left(Content one) {
    if (Arrays.equals(one.written, one.forced) || random.nextInt(4) == 0) {
      return one.forced;
    }
    if (one.written.length <= one.forced.length) {
      return random.nextBoolean() ? one.written : one.forced; // a cut that was not forced
    }
    byte[] torn =
        Arrays.copyOf(
            one.written,
            one.forced.length + random.nextInt(one.written.length - one.forced.length + 1));
    for (int i = one.forced.length;
        i < torn.length && random.nextBoolean();
        i += 1 + random.nextInt(64)) {
      torn[i] = 0; // a page that did not reach the disk
    }
    return torn;
  }

  /** Changes one bit of a file. */
  public void flipBit(String name, int at) {
    Content one = names.get(name);
    one.written = one.written.clone();
    one.written[at] = (byte) (one.written[at] ^ 1 << random.nextInt(8));
    one.forced = one.written;
  }

  /** How many bytes a file has. */
  public int size(String name) {
    return names.get(name).written.length;
  }

  private void operation() throws IOException {
    operations++;
    if (operations >= failFrom && operations < failUntil) {
      throw new IOException("no space left on device");
    }
  }

  @Override
  public List<String> list() {
    return List.copyOf(names.keySet());
  }

  @Override
  public void rename(String from, String to) throws IOException {
    operation();
    names.put(to, names.remove(from));
    pendingNames.add(new TreeMap<>(names));
  }

  @Override
  public void delete(String name) throws IOException {
    operation();
    names.remove(name);
    pendingNames.add(new TreeMap<>(names));
  }

  @Override
  public void forceDirectory() throws IOException {
    operation();
    forcedNames = new TreeMap<>(names);
    pendingNames.clear();
  }

  @Override
  public OpenFile open(String name) throws IOException {
    if (!names.containsKey(name)) {
      operation();
      names.put(name, new Content());
      pendingNames.add(new TreeMap<>(names));
    }
    Content one = names.get(name);
    return new OpenFile() {
      @Override
      public long size() {
        return one.written.length;
      }

      @Override
      public int read(ByteBuffer into, long from) {
        int some = (int) Math.max(0, Math.min(into.remaining(), one.written.length - from));
        into.put(one.written, (int) from, some);
        return some;
      }

      @Override
      public void append(ByteBuffer bytes) throws IOException {
        int all = bytes.remaining();
        int before = one.written.length;
        try {
          operation();
        } catch (IOException full) {
          all = random.nextInt(all + 1); // a part still fits
          throw full;
        } finally {
          one.written = Arrays.copyOf(one.written, before + all);
          bytes.get(one.written, before, all);
        }
      }

      @Override
      public void force() throws IOException {
        operation();
        one.forced = one.written;
      }

      @Override
      public void truncate(long size) throws IOException {
        operation();
        one.written = Arrays.copyOf(one.written, (int) size);
      }

      @Override
      public void close() {}
    };
  }
}
