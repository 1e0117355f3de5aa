package mothwing.net;

/**
 * A header field of an answer.
 *
 * @param name its name on the wire
 * @param value its value
 */
public record Header(String name, String value) {}
