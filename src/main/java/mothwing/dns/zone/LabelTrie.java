package mothwing.dns.zone;

import java.util.Arrays;
import java.util.function.Consumer;

/**
 * A persistent map from labels to values that know their label: a trie over half-bytes with bitmaps
 * in its branches (a qp-trie, T. Finch, 2015). A change copies the branches on the way to its leaf
 * and shares all else, so that whoever holds an older version keeps it. Values stand in the order
 * of their labels' bytes, the shorter first.
 *
 * @param <V> the values
 */
final class LabelTrie<V extends LabelTrie.Labelled> {
  /** A value that knows its label. */
  interface Labelled {
    byte[] label();
  }

  /**
   * Tells leaves apart by the half-byte at an index: bit 0 is the label's end, bits 1 to 16 its
   * values.
   */
  private record Branch(int index, int bitmap, Object[] twigs) {
    int slot(int bit) {
      return Integer.bitCount(bitmap & (bit - 1));
    }

    Branch replaced(int slot, Object twig) {
      Object[] copy = twigs.clone();
      copy[slot] = twig;
      return new Branch(index, bitmap, copy);
    }
  }

  private static final LabelTrie<?> EMPTY = new LabelTrie<>(null, 0);

  private final Object root;
  private final int size;

  private LabelTrie(Object root, int size) {
    this.root = root;
    this.size = size;
  }

  @SuppressWarnings("unchecked")
  static <V extends Labelled> LabelTrie<V> empty() {
    return (LabelTrie<V>) EMPTY;
  }

  int size() {
    return size;
  }

  /** The bit of the half-byte at an index of a label that lies in some bytes. */
  private static int bit(byte[] in, int from, int length, int index) {
    int at = index >> 1;
    if (at >= length) {
      return 1;
    }
    int octet = in[from + at];
    return 2 << ((index & 1) == 0 ? octet >> 4 & 15 : octet & 15);
  }

  private static int bit(byte[] label, int index) {
    return bit(label, 0, label.length, index);
  }

  /** The value of a label that lies in some bytes, or null. */
  @SuppressWarnings("unchecked")
  V get(byte[] in, int from, int length) {
    Object twig = root;
    while (twig instanceof Branch branch) {
      int bit = bit(in, from, length, branch.index);
      if ((branch.bitmap & bit) == 0) {
        return null;
      }
      twig = branch.twigs[branch.slot(bit)];
    }
    if (twig == null) {
      return null;
    }
    byte[] label = ((V) twig).label();
    return Arrays.equals(label, 0, label.length, in, from, from + length) ? (V) twig : null;
  }

  V get(byte[] label) {
    return get(label, 0, label.length);
  }

  /** This map with a value, which takes the place of one with the same label. */
  LabelTrie<V> with(V value) {
    byte[] label = value.label();
    if (root == null) {
      return new LabelTrie<>(value, 1);
    }
    Object twig = root;
    while (twig instanceof Branch branch) {
      int bit = bit(label, branch.index);
      twig = branch.twigs[(branch.bitmap & bit) == 0 ? 0 : branch.slot(bit)];
    }
    byte[] near = ((Labelled) twig).label();
    int differs = 0;
    int most = 2 * Math.max(near.length, label.length);
    while (differs <= most && bit(near, differs) == bit(label, differs)) {
      differs++;
    }
    boolean known = differs > most;
    return new LabelTrie<>(
        put(root, value, known ? Integer.MAX_VALUE : differs, bit(near, differs)),
        known ? size : size + 1);
  }

  private static Object put(Object twig, Labelled value, int differs, int otherBit) {
    int index = twig instanceof Branch branch ? branch.index : Integer.MAX_VALUE;
    if (differs < index) {
      int bit = bit(value.label(), differs);
      return new Branch(
          differs,
          bit | otherBit,
          bit < otherBit ? new Object[] {value, twig} : new Object[] {twig, value});
    } else if (!(twig instanceof Branch branch)) {
      return value;
    } else {
      int bit = bit(value.label(), index);
      int slot = branch.slot(bit);
      if (differs > index) {
        return branch.replaced(slot, put(branch.twigs[slot], value, differs, otherBit));
      }
      Object[] more = new Object[branch.twigs.length + 1];
      System.arraycopy(branch.twigs, 0, more, 0, slot);
      more[slot] = value;
      System.arraycopy(branch.twigs, slot, more, slot + 1, branch.twigs.length - slot);
      return new Branch(index, branch.bitmap | bit, more);
    }
  }

  /** This map without a label. */
  LabelTrie<V> without(byte[] label) {
    if (get(label) == null) {
      return this;
    }
    return size == 1 ? empty() : new LabelTrie<>(remove(root, label), size - 1);
  }

  private static Object remove(Object twig, byte[] label) {
    if (!(twig instanceof Branch branch)) {
      return null;
    }
    int bit = bit(label, branch.index);
    int slot = branch.slot(bit);
    Object less = remove(branch.twigs[slot], label);
    if (less != null) {
      return branch.replaced(slot, less);
    } else if (branch.twigs.length == 2) {
      return branch.twigs[1 - slot];
    }
    Object[] fewer = new Object[branch.twigs.length - 1];
    System.arraycopy(branch.twigs, 0, fewer, 0, slot);
    System.arraycopy(branch.twigs, slot + 1, fewer, slot, fewer.length - slot);
    return new Branch(branch.index, branch.bitmap & ~bit, fewer);
  }

  /** Goes through the values in order. */
  @SuppressWarnings("unchecked")
  void forEach(Consumer<V> action) {
    if (root != null) {
      walk(root, (Consumer<Object>) (Consumer<?>) action);
    }
  }

  private static void walk(Object twig, Consumer<Object> action) {
    if (twig instanceof Branch branch) {
      for (Object one : branch.twigs) {
        walk(one, action);
      }
    } else {
      action.accept(twig);
    }
  }
}
