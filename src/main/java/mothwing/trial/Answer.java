package mothwing.trial;

import java.util.Map;

/**
 * An answer as a stand-in gateway read it: the number of its request, status, fields and content.
 */
public record Answer(int id, int status, Map<String, String> fields, byte[] content) {}
