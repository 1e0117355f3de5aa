package canvaspaddle.wire;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The fields of one JSON object, read by name with a plain complaint where one is missing or of a wrong type. */
final class Fields {
    private final Map<String, Object> values;
    private final String path;

    private Fields(Map<String, Object> values, String path) {
        this.values = values;
        this.path = path;
    }

    /** Reads the object at whose start the parser stands. */
    static Fields read(JsonParser parser) throws IOException {
        return new Fields(object(parser), "");
    }

    private static Map<String, Object> object(JsonParser parser) throws IOException {
        Map<String, Object> values = new LinkedHashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            parser.nextToken();
            values.put(name, value(parser));
        }
        return values;
    }

    private static Object value(JsonParser parser) throws IOException {
        return switch (parser.currentToken()) {
            case START_OBJECT -> object(parser);
            case START_ARRAY -> {
                List<Object> items = new ArrayList<>();
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    items.add(value(parser));
                }
                yield items;
            }
            case VALUE_NUMBER_INT -> parser.getLongValue();
            case VALUE_NUMBER_FLOAT -> parser.getDoubleValue();
            case VALUE_TRUE -> Boolean.TRUE;
            case VALUE_FALSE -> Boolean.FALSE;
            case VALUE_NULL -> null;
            default -> parser.getText();
        };
    }

    private BadInput missing(String name) {
        return new BadInput("field " + path + name + ": required");
    }

    private <T> T typed(String name, Class<T> type) throws BadInput {
        Object value = values.get(name);
        if (value != null && !type.isInstance(value)) {
            throw new BadInput("field " + path + name + ": not a " + type.getSimpleName().toLowerCase());
        }
        return type.cast(value);
    }

    String text(String name) throws BadInput {
        String value = typed(name, String.class);
        if (value == null) {
            throw missing(name);
        }
        return value;
    }

    String text(String name, String absent) throws BadInput {
        String value = typed(name, String.class);
        return value == null ? absent : value;
    }

    /** Text of an optional reference, for which the number 0 also stands for none. */
    String reference(String name) throws BadInput {
        return values.get(name) instanceof Number ? null : text(name, null);
    }

    long whole(String name) throws BadInput {
        Number value = typed(name, Number.class);
        if (value == null) {
            throw missing(name);
        }
        return value.longValue();
    }

    long whole(String name, long absent) throws BadInput {
        Number value = typed(name, Number.class);
        return value == null ? absent : value.longValue();
    }

    double number(String name, double absent) throws BadInput {
        Number value = typed(name, Number.class);
        return value == null ? absent : value.doubleValue();
    }

    boolean mark(String name) throws BadInput {
        return Boolean.TRUE.equals(typed(name, Boolean.class));
    }

    Fields inner(String name) throws BadInput {
        @SuppressWarnings("unchecked")
        Map<String, Object> value = typed(name, Map.class);
        return new Fields(value == null ? Map.of() : value, path + name + ".");
    }

    Fields requiredInner(String name) throws BadInput {
        if (values.get(name) == null) {
            throw missing(name);
        }
        return inner(name);
    }

    private List<?> items(String name) throws BadInput {
        List<?> value = typed(name, List.class);
        return value == null ? List.of() : value;
    }

    List<Fields> inners(String name) throws BadInput {
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

    List<Fields> requiredInners(String name) throws BadInput {
        if (values.get(name) == null) {
            throw missing(name);
        }
        return inners(name);
    }

    double[] numbers(String name) throws BadInput {
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

    List<String> texts(String name) throws BadInput {
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
        return place < items.size() && items.get(place) instanceof Number number ? number.doubleValue() : 0;
    }
}
