package mothwing.settings;

import com.google.gson.stream.JsonReader;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Reads the fields of one JSON object by name. Errors name the field that is missing or of the
 * wrong type. A field with the value null counts as absent. Immutable.
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
   * @param parser the parser of the JSON text
   * @return the fields of the object
   * @throws IOException if the JSON is malformed
   * @throws IllegalStateException if the next value is not an object
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
   * Requires that another object has every key that this one has with a value, at every depth. For
   * a list of objects, the required keys are those that all its objects here share. Values are not
   * compared.
   *
   * @param other the object to check
   * @throws InvalidInputException if a key is missing; the message names it
   */
  public void requireKeysIn(JsonFields other) throws InvalidInputException {
    requireKeys(values, other.values, "");
  }

  private static void requireKeys(Map<?, ?> required, Map<?, ?> checked, String path)
      throws InvalidInputException {
    for (Map.Entry<?, ?> entry : required.entrySet()) {
      Object value = checked.get(entry.getKey());
      String name = path + entry.getKey();
      if (entry.getValue() != null && value == null) {
        throw new InvalidInputException(
            "field " + name + ": required, because the current configuration has it");
      }
      if (entry.getValue() instanceof Map<?, ?> inner && value instanceof Map<?, ?> checkedMap) {
        requireKeys(inner, checkedMap, name + ".");
      } else if (entry.getValue() instanceof List<?> items
          && value instanceof List<?> checkedItems) {
        Map<?, ?> common = commonKeys(items);
        for (Object item : checkedItems) {
          if (item instanceof Map<?, ?> map) {
            requireKeys(common, map, name + "[].");
          }
        }
      }
    }
  }

  /** Returns the keys that all objects of a list share. */
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
   * Returns a required number above 0.
   *
   * @param name the name of the field
   * @return the value, rounded down
   * @throws InvalidInputException if it is missing, not a number or not above 0
   */
  public long positiveInteger(String name) throws InvalidInputException {
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
   * Returns a required string.
   *
   * @param name the name of the field
   * @return the value
   * @throws InvalidInputException if it is missing or of the wrong type
   */
  public String text(String name) throws InvalidInputException {
    String value = typed(name, String.class);
    if (value == null) {
      throw missing(name);
    }
    return value;
  }

  /**
   * Returns an optional string.
   *
   * @param name the name of the field
   * @param defaultValue the value if the field is absent
   * @return the value
   * @throws InvalidInputException if it is of the wrong type
   */
  public String text(String name, String defaultValue) throws InvalidInputException {
    String value = typed(name, String.class);
    return value == null ? defaultValue : value;
  }

  /**
   * Returns an optional reference. Any number, such as the 0 that is sent on the wire, means that
   * there is none.
   *
   * @param name the name of the field
   * @return the value, or null if there is none
   * @throws InvalidInputException if it is of the wrong type
   */
  public String optionalReference(String name) throws InvalidInputException {
    return values.get(name) instanceof Number ? null : text(name, null);
  }

  /**
   * Returns a required integer.
   *
   * @param name the name of the field
   * @return the value
   * @throws InvalidInputException if it is missing or of the wrong type
   */
  public long integer(String name) throws InvalidInputException {
    Number value = typed(name, Number.class);
    if (value == null) {
      throw missing(name);
    }
    return value.longValue();
  }

  /**
   * Returns an optional integer.
   *
   * @param name the name of the field
   * @param defaultValue the value if the field is absent
   * @return the value
   * @throws InvalidInputException if it is of the wrong type
   */
  public long integer(String name, long defaultValue) throws InvalidInputException {
    Number value = typed(name, Number.class);
    return value == null ? defaultValue : value.longValue();
  }

  /**
   * Returns an optional number.
   *
   * @param name the name of the field
   * @param defaultValue the value if the field is absent
   * @return the value
   * @throws InvalidInputException if it is of the wrong type
   */
  public double number(String name, double defaultValue) throws InvalidInputException {
    Number value = typed(name, Number.class);
    return value == null ? defaultValue : value.doubleValue();
  }

  /**
   * Returns a flag, or false if it is absent.
   *
   * @param name the name of the field
   * @return the value
   * @throws InvalidInputException if it is of the wrong type
   */
  public boolean flag(String name) throws InvalidInputException {
    return Boolean.TRUE.equals(typed(name, Boolean.class));
  }

  /**
   * Returns an object, or an empty one if it is absent.
   *
   * @param name the name of the field
   * @return the value
   * @throws InvalidInputException if it is of the wrong type
   */
  public JsonFields object(String name) throws InvalidInputException {
    @SuppressWarnings("unchecked")
    Map<String, Object> value = typed(name, Map.class);
    return new JsonFields(value == null ? Map.of() : value, path + name + ".");
  }

  /**
   * Returns a required object.
   *
   * @param name the name of the field
   * @return the value
   * @throws InvalidInputException if it is missing or of the wrong type
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
   * Returns a list of objects, or an empty list if it is absent.
   *
   * @param name the name of the field
   * @return the value
   * @throws InvalidInputException if it is of the wrong type
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
   * Returns a required list of objects.
   *
   * @param name the name of the field
   * @return the value
   * @throws InvalidInputException if it is missing or of the wrong type
   */
  public List<JsonFields> requiredObjects(String name) throws InvalidInputException {
    if (values.get(name) == null) {
      throw missing(name);
    }
    return objects(name);
  }

  /**
   * Returns a list of numbers, or an empty list if it is absent.
   *
   * @param name the name of the field
   * @return the value
   * @throws InvalidInputException if it is of the wrong type
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
   * Returns a list of strings, or an empty list if it is absent. Items that are not strings are
   * converted, null to "null".
   *
   * @param name the name of the field
   * @return the value
   * @throws InvalidInputException if it is of the wrong type
   */
  public List<String> texts(String name) throws InvalidInputException {
    List<String> texts = new ArrayList<>();
    for (Object item : items(name)) {
      texts.add(String.valueOf(item));
    }
    return texts;
  }

  /** Returns the flag at an index of a list, or false if the list is shorter. */
  boolean flagAt(String name, int index) throws InvalidInputException {
    List<?> items = items(name);
    return index < items.size() && Boolean.TRUE.equals(items.get(index));
  }

  /** Returns the number at an index of a list, or 0 if the list is shorter. */
  double numberAt(String name, int index) throws InvalidInputException {
    List<?> items = items(name);
    return index < items.size() && items.get(index) instanceof Number number
        ? number.doubleValue()
        : 0;
  }
}
