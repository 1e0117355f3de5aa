package mothwing.settings;

import com.google.gson.stream.JsonReader;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * The fields of one JSON object, read by name; an error names the field that is missing or of a
 * wrong type. A field whose value is null counts as absent. Immutable.
 */
public final class JsonFields {
  private final Map<String, Object> values;
  private final String path;

  private JsonFields(Map<String, Object> values, String path) {
    this.values = values;
    this.path = path;
  }

  /**
   * Reads the next object of a parser.
   *
   * @param parser reads the JSON
   * @return its fields
   * @throws IOException where it is no object, or broken
   */
  public static JsonFields read(JsonReader parser) throws IOException {
    return new JsonFields(readObject(parser), "");
  }

  private static Map<String, Object> readObject(JsonReader parser) throws IOException {
    Map<String, Object> values = new LinkedHashMap<>();
    parser.beginObject();
    while (parser.hasNext()) {
      values.put(parser.nextName(), readValue(parser));
    }
    parser.endObject();
    return values;
  }

  private static Object readValue(JsonReader parser) throws IOException {
    return switch (parser.peek()) {
      case BEGIN_OBJECT -> readObject(parser);
      case BEGIN_ARRAY -> {
        List<Object> items = new ArrayList<>();
        parser.beginArray();
        while (parser.hasNext()) {
          items.add(readValue(parser));
        }
        parser.endArray();
        yield items;
      }
      case NUMBER -> readNumber(parser.getPath(), parser.nextString());
      case BOOLEAN -> parser.nextBoolean();
      case NULL -> {
        parser.nextNull();
        yield null;
      }
      default -> parser.nextString();
    };
  }

  private static Number readNumber(String path, String text) throws InvalidInputException {
    try {
      boolean isInteger = text.indexOf('.') < 0 && text.indexOf('e') < 0 && text.indexOf('E') < 0;
      Number value = isInteger ? (Number) Long.valueOf(text) : (Number) Double.valueOf(text);
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
   * Requires that other fields have all keys that these have, at every depth; each object of a list
   * must have the keys that all objects of the list here have in common. Values are not compared.
   *
   * @param other the other fields
   * @throws InvalidInputException where a key is missing; the message names it
   */
  public void requireKeysIn(JsonFields other) throws InvalidInputException {
    requireKeys(values, other.values, "");
  }

  private static void requireKeys(Map<?, ?> here, Map<?, ?> there, String path)
      throws InvalidInputException {
    for (Map.Entry<?, ?> entry : here.entrySet()) {
      Object value = there.get(entry.getKey());
      String name = path + entry.getKey();
      if (entry.getValue() != null && value == null) {
        throw new InvalidInputException(
            "field " + name + ": required, as the configuration in force names it");
      }
      if (entry.getValue() instanceof Map<?, ?> inner && value instanceof Map<?, ?> others) {
        requireKeys(inner, others, name + ".");
      } else if (entry.getValue() instanceof List<?> items && value instanceof List<?> others) {
        Map<?, ?> common = commonKeys(items);
        for (Object item : others) {
          if (item instanceof Map<?, ?> map) {
            requireKeys(common, map, name + "[].");
          }
        }
      }
    }
  }

  /** The keys that all objects of a list have in common. */
  private static Map<?, ?> commonKeys(List<?> items) {
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
   * @throws InvalidInputException where it is missing, no number or not above 0
   */
  public long positive(String name) throws InvalidInputException {
    long value = integer(name);
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
   * @throws InvalidInputException where it is missing or of a wrong type
   */
  public String text(String name) throws InvalidInputException {
    String value = typed(name, String.class);
    if (value == null) {
      throw missing(name);
    }
    return value;
  }

  /**
   * Text, or a default.
   *
   * @param name its name
   * @param absent the value of an absent one
   * @return its value
   * @throws InvalidInputException where it is of a wrong type
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
   * @throws InvalidInputException where it is of a wrong type
   */
  public String optionalReference(String name) throws InvalidInputException {
    return values.get(name) instanceof Number ? null : text(name, null);
  }

  /**
   * An integer that must be there.
   *
   * @param name its name
   * @return its value
   * @throws InvalidInputException where it is missing or of a wrong type
   */
  public long integer(String name) throws InvalidInputException {
    Number value = typed(name, Number.class);
    if (value == null) {
      throw missing(name);
    }
    return value.longValue();
  }

  /**
   * An integer, or a default.
   *
   * @param name its name
   * @param absent the value of an absent one
   * @return its value
   * @throws InvalidInputException where it is missing or of a wrong type
   */
  public long integer(String name, long absent) throws InvalidInputException {
    Number value = typed(name, Number.class);
    return value == null ? absent : value.longValue();
  }

  /**
   * A number, or a default.
   *
   * @param name its name
   * @param absent the value of an absent one
   * @return its value
   * @throws InvalidInputException where it is missing or of a wrong type
   */
  public double number(String name, double absent) throws InvalidInputException {
    Number value = typed(name, Number.class);
    return value == null ? absent : value.doubleValue();
  }

  /**
   * A flag, false where it is absent.
   *
   * @param name its name
   * @return its value
   * @throws InvalidInputException where it is missing or of a wrong type
   */
  public boolean flag(String name) throws InvalidInputException {
    return Boolean.TRUE.equals(typed(name, Boolean.class));
  }

  /**
   * An object, empty where it is absent.
   *
   * @param name its name
   * @return its value
   * @throws InvalidInputException where it is missing or of a wrong type
   */
  public JsonFields object(String name) throws InvalidInputException {
    @SuppressWarnings("unchecked")
    Map<String, Object> value = typed(name, Map.class);
    return new JsonFields(value == null ? Map.of() : value, path + name + ".");
  }

  /**
   * An object that must be there.
   *
   * @param name its name
   * @return its value
   * @throws InvalidInputException where it is missing or of a wrong type
   */
  public JsonFields requiredObject(String name) throws InvalidInputException {
    if (values.get(name) == null) {
      throw missing(name);
    }
    return object(name);
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
   * @throws InvalidInputException where it is missing or of a wrong type
   */
  public List<JsonFields> objects(String name) throws InvalidInputException {
    List<JsonFields> objects = new ArrayList<>();
    for (Object item : items(name)) {
      if (!(item instanceof Map)) {
        throw new InvalidInputException("field " + path + name + ": not a list of objects");
      }
      @SuppressWarnings("unchecked")
      Map<String, Object> map = (Map<String, Object>) item;
      objects.add(new JsonFields(map, path + name + "[]."));
    }
    return objects;
  }

  /**
   * A list of objects that must be there.
   *
   * @param name its name
   * @return its value
   * @throws InvalidInputException where it is missing or of a wrong type
   */
  public List<JsonFields> requiredObjects(String name) throws InvalidInputException {
    if (values.get(name) == null) {
      throw missing(name);
    }
    return objects(name);
  }

  /**
   * A list of numbers, empty where it is absent.
   *
   * @param name its name
   * @return its value
   * @throws InvalidInputException where it is missing or of a wrong type
   */
  public double[] numbers(String name) throws InvalidInputException {
    List<?> items = items(name);
    double[] numbers = new double[items.size()];
    for (int i = 0; i < numbers.length; i++) {
      if (!(items.get(i) instanceof Number number)) {
        throw new InvalidInputException("field " + path + name + ": not a list of numbers");
      }
      numbers[i] = number.doubleValue();
    }
    return numbers;
  }

  /**
   * A list of texts, empty where it is absent.
   *
   * @param name its name
   * @return its value
   * @throws InvalidInputException where it is missing or of a wrong type
   */
  public List<String> texts(String name) throws InvalidInputException {
    List<String> texts = new ArrayList<>();
    for (Object item : items(name)) {
      texts.add(String.valueOf(item));
    }
    return texts;
  }

  /** The flag at an index of a list, false where the list is shorter. */
  boolean flagAt(String name, int index) throws InvalidInputException {
    List<?> items = items(name);
    return index < items.size() && Boolean.TRUE.equals(items.get(index));
  }

  /** The number at an index of a list, 0 where the list is shorter. */
  double numberAt(String name, int index) throws InvalidInputException {
    List<?> items = items(name);
    return index < items.size() && items.get(index) instanceof Number number
        ? number.doubleValue()
        : 0;
  }
}
