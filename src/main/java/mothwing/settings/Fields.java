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
public final class Fields {
  private final Map<String, Object> values;
  private final String path;

  private Fields(Map<String, Object> values, String path) {
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
  public static Fields read(JsonReader parser) throws IOException {
    return new Fields(object(parser), "");
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

  private static Number number(String path, String text) throws BadInput {
    try {
      boolean whole = text.indexOf('.') < 0 && text.indexOf('e') < 0 && text.indexOf('E') < 0;
      Number value = whole ? (Number) Long.valueOf(text) : (Number) Double.valueOf(text);
      if (Double.isFinite(value.doubleValue())) {
        return value;
      }
      throw new NumberFormatException();
    } catch (NumberFormatException tooLarge) {
      throw new BadInput(
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
  public void requireKeysIn(Fields other) throws BadInput {
    requireKeys(values, other.values, "");
  }

  private static void requireKeys(Map<?, ?> here, Map<?, ?> there, String path) throws BadInput {
    for (Map.Entry<?, ?> one : here.entrySet()) {
      Object value = there.get(one.getKey());
      String name = path + one.getKey();
      if (one.getValue() != null && value == null) {
        throw new BadInput("field " + name + ": required, as the configuration in force names it");
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
  public long positive(String name) throws BadInput {
    long value = whole(name);
    if (value <= 0) {
      throw new BadInput("field " + path + name + ": not above 0");
    }
    return value;
  }

  private BadInput missing(String name) {
    return new BadInput("field " + path + name + ": required");
  }

  private <T> T typed(String name, Class<T> type) throws BadInput {
    Object value = values.get(name);
    if (value != null && !type.isInstance(value)) {
      throw new BadInput(
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
  public String text(String name) throws BadInput {
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
  public String text(String name, String absent) throws BadInput {
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
  public String reference(String name) throws BadInput {
    return values.get(name) instanceof Number ? null : text(name, null);
  }

  /**
   * A whole number that must be there.
   *
   * @param name its name
   * @return its value
   * @throws BadInput where it is missing or of a wrong type
   */
  public long whole(String name) throws BadInput {
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
  public long whole(String name, long absent) throws BadInput {
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
  public double number(String name, double absent) throws BadInput {
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
  public boolean mark(String name) throws BadInput {
    return Boolean.TRUE.equals(typed(name, Boolean.class));
  }

  /**
   * An object, empty where it is absent.
   *
   * @param name its name
   * @return its value
   * @throws BadInput where it is missing or of a wrong type
   */
  public Fields inner(String name) throws BadInput {
    @SuppressWarnings("unchecked")
    Map<String, Object> value = typed(name, Map.class);
    return new Fields(value == null ? Map.of() : value, path + name + ".");
  }

  /**
   * An object that must be there.
   *
   * @param name its name
   * @return its value
   * @throws BadInput where it is missing or of a wrong type
   */
  public Fields requiredInner(String name) throws BadInput {
    if (values.get(name) == null) {
      throw missing(name);
    }
    return inner(name);
  }

  private List<?> items(String name) throws BadInput {
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
  public List<Fields> inners(String name) throws BadInput {
    List<Fields> all = new ArrayList<>();
    for (Object item : items(name)) {
      if (!(item instanceof Map)) {
        throw new BadInput("field " + path + name + ": not a list of objects");
      }
      @SuppressWarnings("unchecked")
      Map<String, Object> map = (Map<String, Object>) item;
      all.add(new Fields(map, path + name + "[]."));
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
  public List<Fields> requiredInners(String name) throws BadInput {
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
  public double[] numbers(String name) throws BadInput {
    List<?> items = items(name);
    double[] all = new double[items.size()];
    for (int i = 0; i < all.length; i++) {
      if (!(items.get(i) instanceof Number number)) {
        throw new BadInput("field " + path + name + ": not a list of numbers");
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
  public List<String> texts(String name) throws BadInput {
    List<String> all = new ArrayList<>();
    for (Object item : items(name)) {
      all.add(String.valueOf(item));
    }
    return all;
  }

  /** The mark at a place of a list, false where the list is shorter. */
  boolean markAt(String name, int place) throws BadInput {
    List<?> items = items(name);
    return place < items.size() && Boolean.TRUE.equals(items.get(place));
  }

  /** The number at a place of a list, 0 where the list is shorter. */
  double numberAt(String name, int place) throws BadInput {
    List<?> items = items(name);
    return place < items.size() && items.get(place) instanceof Number number
        ? number.doubleValue()
        : 0;
  }
}
