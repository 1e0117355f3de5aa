package mothwing.settings;

import com.google.gson.stream.JsonReader;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * The fields of one JSON object, read by name with a plain complaint where one is missing or of a
 * wrong type.
 */
public final class JsonFields {
  private final Map<String, Object> values;
  private final String path;

  private JsonFields(Map<String, Object> values, String path) {
    this.values = values;
    this.path = path;
  }

  /**
   * Reads the object at whose start the parser stands.
   *
   * @param parser reads the JSON
   * @return its fields
   * @throws IOException where it is no object, or broken
   */
  public static JsonFields read(JsonReader parser) throws IOException {
    return new JsonFields(object(parser), "");
  }

  private static Map<String, Object> object(JsonReader parser) throws IOException {
    Map<String, Object> values = new LinkedHashMap<>();
    parser.beginObject();
    while (parser.hasNext()) {
      values.put(parser.nextName(), value(parser));
    }
    parser.endObject();
    return values;
  }

  private static Object value(JsonReader parser) throws IOException {
    return switch (parser.peek()) {
      case BEGIN_OBJECT -> object(parser);
      case BEGIN_ARRAY -> {
        List<Object> items = new ArrayList<>();
        parser.beginArray();
        while (parser.hasNext()) {
          items.add(value(parser));
        }
        parser.endArray();
        yield items;
      }
      case NUMBER -> number(parser.getPath(), parser.nextString());
      case BOOLEAN -> parser.nextBoolean();
      case NULL -> {
        parser.nextNull();
        yield null;
      }
      default -> parser.nextString();
    };
  }

  private static Number number(String path, String text) throws InvalidInputException {
    try {
      boolean whole = text.indexOf('.') < 0 && text.indexOf('e') < 0 && text.indexOf('E') < 0;
      Number value = whole ? (Number) Long.valueOf(text) : (Number) Double.valueOf(text);
      if (Double.isFinite(value.doubleValue())) {
        return value;
      }
      throw new NumberFormatException();
    } catch (NumberFormatException tooLarge) {
      throw new InvalidInputException(
          "field " + path.replace("$.", "") + ": number " + text + " is out of range");
    }
  }

  /**
   * Whether other fields name all keys that these name, at every depth; each object of a list must
   * name those that all objects of the list here name. Values are not compared.
   *
   * @param other the other fields
   * @throws BadInput where a key is missing; the message names it
   */
  public void requireKeysIn(JsonFields other) throws InvalidInputException {
    requireKeys(values, other.values, "");
  }

  private static void requireKeys(Map<?, ?> here, Map<?, ?> there, String path)
      throws InvalidInputException {
    for (Map.Entry<?, ?> one : here.entrySet()) {
      Object value = there.get(one.getKey());
      String name = path + one.getKey();
      if (one.getValue() != null && value == null) {
        throw new InvalidInputException(
            "field " + name + ": required, as the configuration in force names it");
      }
      if (one.getValue() instanceof Map<?, ?> inner && value instanceof Map<?, ?> others) {
        requireKeys(inner, others, name + ".");
      } else if (one.getValue() instanceof List<?> items && value instanceof List<?> others) {
        Map<?, ?> common = common(items);
        for (Object item : others) {
          if (item instanceof Map<?, ?> map) {
            requireKeys(common, map, name + "[].");
          }
        }
      }
    }
  }

  /** The keys that all objects of a list name. */
  private static Map<?, ?> common(List<?> items) {
    Map<Object, Object> common = new LinkedHashMap<>();
    for (Object item : items) {
      if (item instanceof Map<?, ?> map) {
        if (common.isEmpty()) {
          common.putAll(map);
        }
        common.keySet().retainAll(map.keySet());
      }
    }
    return common;
  }

  /**
   * A number above 0 that must be there.
   *
   * @param name its name
   * @return its value, rounded down
   * @throws BadInput where it is missing, no number or not above 0
   */
  public long positive(String name) throws InvalidInputException {
    long value = whole(name);
    if (value <= 0) {
      throw new InvalidInputException("field " + path + name + ": not above 0");
    }
    return value;
  }

  private InvalidInputException missing(String name) {
    return new InvalidInputException("field " + path + name + ": required");
  }

  private <T> T typed(String name, Class<T> type) throws InvalidInputException {
    Object value = values.get(name);
    if (value != null && !type.isInstance(value)) {
      throw new InvalidInputException(
          "field " + path + name + ": not a " + type.getSimpleName().toLowerCase(Locale.ROOT));
    }
    return type.cast(value);
  }

  /**
   * Text that must be there.
   *
   * @param name its name
   * @return its value
   * @throws BadInput where it is missing or of a wrong type
   */
  public String text(String name) throws InvalidInputException {
    String value = typed(name, String.class);
    if (value == null) {
      throw missing(name);
    }
    return value;
  }

  /**
   * Text, or what stands for an absent one.
   *
   * @param name its name
   * @param absent stands for an absent one
   * @return its value
   * @throws BadInput where it is missing or of a wrong type
   */
  public String text(String name, String absent) throws InvalidInputException {
    String value = typed(name, String.class);
    return value == null ? absent : value;
  }

  /**
   * Text of an optional reference, for which the number 0 also stands for none.
   *
   * @param name its name
   * @return its value or null
   * @throws BadInput where it is of a wrong type
   */
  public String reference(String name) throws InvalidInputException {
    return values.get(name) instanceof Number ? null : text(name, null);
  }

  /**
   * A whole number that must be there.
   *
   * @param name its name
   * @return its value
   * @throws BadInput where it is missing or of a wrong type
   */
  public long whole(String name) throws InvalidInputException {
    Number value = typed(name, Number.class);
    if (value == null) {
      throw missing(name);
    }
    return value.longValue();
  }

  /**
   * A whole number, or what stands for an absent one.
   *
   * @param name its name
   * @param absent stands for an absent one
   * @return its value
   * @throws BadInput where it is missing or of a wrong type
   */
  public long whole(String name, long absent) throws InvalidInputException {
    Number value = typed(name, Number.class);
    return value == null ? absent : value.longValue();
  }

  /**
   * A number, or what stands for an absent one.
   *
   * @param name its name
   * @param absent stands for an absent one
   * @return its value
   * @throws BadInput where it is missing or of a wrong type
   */
  public double number(String name, double absent) throws InvalidInputException {
    Number value = typed(name, Number.class);
    return value == null ? absent : value.doubleValue();
  }

  /**
   * A mark, false where it is absent.
   *
   * @param name its name
   * @return its value
   * @throws BadInput where it is missing or of a wrong type
   */
  public boolean mark(String name) throws InvalidInputException {
    return Boolean.TRUE.equals(typed(name, Boolean.class));
  }

  /**
   * An object, empty where it is absent.
   *
   * @param name its name
   * @return its value
   * @throws BadInput where it is missing or of a wrong type
   */
  public JsonFields inner(String name) throws InvalidInputException {
    @SuppressWarnings("unchecked")
    Map<String, Object> value = typed(name, Map.class);
    return new JsonFields(value == null ? Map.of() : value, path + name + ".");
  }

  /**
   * An object that must be there.
   *
   * @param name its name
   * @return its value
   * @throws BadInput where it is missing or of a wrong type
   */
  public JsonFields requiredInner(String name) throws InvalidInputException {
    if (values.get(name) == null) {
      throw missing(name);
    }
    return inner(name);
  }

  private List<?> items(String name) throws InvalidInputException {
    List<?> value = typed(name, List.class);
    return value == null ? List.of() : value;
  }

  /**
   * A list of objects, empty where it is absent.
   *
   * @param name its name
   * @return its value
   * @throws BadInput where it is missing or of a wrong type
   */
  public List<JsonFields> inners(String name) throws InvalidInputException {
    List<JsonFields> all = new ArrayList<>();
    for (Object item : items(name)) {
      if (!(item instanceof Map)) {
        throw new InvalidInputException("field " + path + name + ": not a list of objects");
      }
      @SuppressWarnings("unchecked")
      Map<String, Object> map = (Map<String, Object>) item;
      all.add(new JsonFields(map, path + name + "[]."));
    }
    return all;
  }

  /**
   * A list of objects that must be there.
   *
   * @param name its name
   * @return its value
   * @throws BadInput where it is missing or of a wrong type
   */
  public List<JsonFields> requiredInners(String name) throws InvalidInputException {
    if (values.get(name) == null) {
      throw missing(name);
    }
    return inners(name);
  }

  /**
   * A list of numbers, empty where it is absent.
   *
   * @param name its name
   * @return its value
   * @throws BadInput where it is missing or of a wrong type
   */
  public double[] numbers(String name) throws InvalidInputException {
    List<?> items = items(name);
    double[] all = new double[items.size()];
    for (int i = 0; i < all.length; i++) {
      if (!(items.get(i) instanceof Number number)) {
        throw new InvalidInputException("field " + path + name + ": not a list of numbers");
      }
      all[i] = number.doubleValue();
    }
    return all;
  }

  /**
   * A list of texts, empty where it is absent.
   *
   * @param name its name
   * @return its value
   * @throws BadInput where it is missing or of a wrong type
   */
  public List<String> texts(String name) throws InvalidInputException {
    List<String> all = new ArrayList<>();
    for (Object item : items(name)) {
      all.add(String.valueOf(item));
    }
    return all;
  }

  /** The mark at a place of a list, false where the list is shorter. */
  boolean markAt(String name, int place) throws InvalidInputException {
    List<?> items = items(name);
    return place < items.size() && Boolean.TRUE.equals(items.get(place));
  }

  /** The number at a place of a list, 0 where the list is shorter. */
  double numberAt(String name, int place) throws InvalidInputException {
    List<?> items = items(name);
    return place < items.size() && items.get(place) instanceof Number number
        ? number.doubleValue()
        : 0;
  }
}
