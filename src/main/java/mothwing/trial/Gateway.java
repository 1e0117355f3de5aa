package mothwing.trial;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Queue;

/** The protocol of a stand-in gateway: encodes requests and decodes answers. */
public abstract class Gateway {
  /** Kilobytes that are booked for each held request. */
  static final double RESERVE_KB = 24.5;

  /** Answers that were decoded and not removed yet. */
  public final Queue<Answer> answers = new ArrayDeque<>();

  /** Whether the server has forbidden the reuse of the connection. */
  public boolean refusesReuse;

  private byte[] received = new byte[0];

  /** Receives bytes of the server. */
  public final void receive(byte[] bytes) {
    ByteBuffer in =
        ByteBuffer.allocate(received.length + bytes.length).put(received).put(bytes).flip();
    int decoded;
    do {
      decoded = in.position();
    } while (decode(in));
    in.position(decoded);
    received = new byte[in.remaining()];
    in.get(received);
  }

  /** Decodes one complete message. Returns false if there is none. */
  protected abstract boolean decode(ByteBuffer in);

  /** Encodes one complete request. */
  public abstract byte[] request(
      int id, String path, String query, Map<String, String> fields, byte[] body);

  /** Returns the fields of a valid request. */
  public static Map<String, String> fields(String traceId, long acceptedAtMs) {
    Map<String, String> all = new LinkedHashMap<>();
    all.put("Trace-Id", traceId);
    all.put("Accepted-At-Ms", Long.toString(acceptedAtMs));
    all.put("Client-No", "4");
    all.put("Project", "one");
    all.put("Reserve-Kb", Double.toString(RESERVE_KB));
    all.put("Standing", "0.6250");
    return all;
  }

  /** FastCGI, with many requests at the same time. */
  public static final class FastCgi extends Gateway {
    private final Map<Integer, ByteArrayOutputStream> outs = new HashMap<>();

    /** One record. */
    public static byte[] record(int type, int id, byte[] content) {
      return ByteBuffer.allocate(8 + content.length)
          .put((byte) 1)
          .put((byte) type)
          .putShort((short) id)
          .putShort((short) content.length)
          .putShort((short) 0)
          .put(content)
          .array();
    }

    /** The record that begins a request. */
    public static byte[] begin(int id) {
      return record(1, id, new byte[] {0, 1, 1, 0, 0, 0, 0, 0});
    }

    /** The record that aborts a request. */
    public static byte[] abort(int id) {
      return record(2, id, new byte[0]);
    }

    private static void pair(ByteArrayOutputStream out, String name, String value) {
      out.write(name.length());
      out.writeBytes(ByteBuffer.allocate(4).putInt(value.length() | Integer.MIN_VALUE).array());
      out.writeBytes((name + value).getBytes(StandardCharsets.ISO_8859_1));
    }

    @Override
    public byte[] request(
        int id, String path, String query, Map<String, String> fields, byte[] body) {
      ByteArrayOutputStream params = new ByteArrayOutputStream();
      pair(params, "REQUEST_METHOD", "POST");
      pair(params, "SCRIPT_NAME", path);
      pair(params, "QUERY_STRING", query);
      fields.forEach(
          (name, value) ->
              pair(params, "HTTP_" + name.toUpperCase(Locale.ROOT).replace('-', '_'), value));
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      out.writeBytes(begin(id));
      out.writeBytes(record(4, id, params.toByteArray()));
      out.writeBytes(record(4, id, new byte[0]));
      if (body.length > 0) {
        out.writeBytes(record(5, id, body));
      }
      out.writeBytes(record(5, id, new byte[0]));
      return out.toByteArray();
    }

    @Override
    protected boolean decode(ByteBuffer in) {
      if (in.remaining() < 8) {
        return false;
      }
      ByteBuffer head = in.slice();
      int length = head.getShort(4) & 0xFFFF;
      if (in.remaining() < 8 + length + head.get(6)) {
        return false;
      }
      int id = head.getShort(2) & 0xFFFF;
      byte[] content = new byte[length];
      in.position(in.position() + 8);
      in.get(content);
      in.position(in.position() + head.get(6));
      if (head.get(1) == 6) {
        outs.computeIfAbsent(id, none -> new ByteArrayOutputStream()).writeBytes(content);
      } else if (head.get(1) == 3) {
        ByteArrayOutputStream out = outs.remove(id);
        answers.add(answer(id, out == null ? new byte[0] : out.toByteArray()));
      }
      return true;
    }

    private static Answer answer(int id, byte[] out) {
      String text = new String(out, StandardCharsets.ISO_8859_1);
      int end = text.indexOf("\r\n\r\n");
      Map<String, String> fields = new HashMap<>();
      for (String line : text.substring(0, Math.max(0, end)).split("\r\n")) {
        fields.put(line.split(": ")[0], line.substring(line.indexOf(": ") + 2));
      }
      int status = Integer.parseInt(fields.getOrDefault("Status", "0 ").split(" ")[0]);
      return new Answer(id, status, fields, java.util.Arrays.copyOfRange(out, end + 4, out.length));
    }
  }

  /** AJP/1.3, with one request at a time. */
  public static final class Ajp extends Gateway {
    /** Bytes of the body that the server requested last, or 0. */
    public int requestedBytes;

    /** Answers to CPing. */
    public int pongs;

    private int status;
    private Map<String, String> fields;
    private ByteArrayOutputStream content;

    /** One packet to the server. */
    public static byte[] packet(byte[] payload) {
      return ByteBuffer.allocate(4 + payload.length)
          .putShort((short) 0x1234)
          .putShort((short) payload.length)
          .put(payload)
          .array();
    }

    /** CPing. */
    public static byte[] cping() {
      return packet(new byte[] {10});
    }

    /** A chunk of a body; an empty one is the end. */
    public static byte[] chunk(byte[] body, int from, int to) {
      return packet(
          from == to
              ? new byte[0]
              : ByteBuffer.allocate(2 + to - from)
                  .putShort((short) (to - from))
                  .put(body, from, to - from)
                  .array());
    }

    private static void text(ByteArrayOutputStream out, String text) {
      out.writeBytes(new byte[] {(byte) (text.length() >> 8), (byte) text.length()});
      out.writeBytes(text.getBytes(StandardCharsets.ISO_8859_1));
      out.write(0);
    }

    /** A Forward Request packet; a length below 0 stands for one that is not stated. */
    public static byte[] forward(
        String path, String query, Map<String, String> fields, int length) {
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      out.writeBytes(new byte[] {2, 4});
      for (String text : new String[] {"HTTP/1.1", path, "127.0.0.1", "till", "shop"}) {
        text(out, text);
      }
      out.writeBytes(new byte[] {0, 80, 0, 0, (byte) (fields.size() + 1)});
      fields.forEach(
          (name, value) -> {
            text(out, name);
            text(out, value);
          });
      if (length >= 0) {
        out.writeBytes(new byte[] {(byte) 0xA0, 8});
        text(out, Integer.toString(length));
      } else {
        text(out, "Transfer-Encoding");
        text(out, "chunked");
      }
      out.write(5);
      text(out, query);
      out.write(0xFF);
      return packet(out.toByteArray());
    }

    @Override
    public byte[] request(
        int id, String path, String query, Map<String, String> fields, byte[] body) {
      byte[] forward = forward(path, query, fields, body.length);
      byte[] chunk = body.length == 0 ? new byte[0] : chunk(body, 0, body.length);
      return ByteBuffer.allocate(forward.length + chunk.length).put(forward).put(chunk).array();
    }

    @Override
    protected boolean decode(ByteBuffer in) {
      if (in.remaining() < 4 || in.remaining() < 4 + in.getShort(in.position() + 2)) {
        return false;
      }
      in.position(in.position() + 4);
      switch (in.get()) {
        case 3 -> {
          byte[] chunk = new byte[in.getShort()];
          in.get(chunk);
          in.get();
          content.writeBytes(chunk);
        }
        case 4 -> {
          status = in.getShort();
          text(in);
          fields = new HashMap<>();
          content = new ByteArrayOutputStream();
          for (int left = in.getShort(); left > 0; left--) {
            fields.put(text(in), text(in));
          }
        }
        case 5 -> {
          refusesReuse = in.get() == 0;
          answers.add(new Answer(0, status, fields, content.toByteArray()));
        }
        case 6 -> requestedBytes = in.getShort();
        case 9 -> pongs++;
        default -> throw new AssertionError("a packet that no container sends");
      }
      return true;
    }

    private static String text(ByteBuffer in) {
      byte[] text = new byte[in.getShort()];
      in.get(text);
      in.get();
      return new String(text, StandardCharsets.ISO_8859_1);
    }
  }
}
