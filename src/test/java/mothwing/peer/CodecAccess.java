package mothwing.peer;

import java.io.IOException;
import mothwing.member.Message;

/** Lets tests outside of this package use the encoding of messages between servers. */
public final class CodecAccess {
  private CodecAccess() {}

  /** The bytes of a message. */
  public static byte[] bytes(Message message) {
    return Codec.bytes(message);
  }

  /** The message of some bytes; what is thrown has the reason's code as its message. */
  public static Message message(byte[] bytes) throws IOException {
    return Codec.message(bytes);
  }
}
