import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON: objects as maps, arrays as lists, whole numbers as Long, others as Double. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        Json json = new Json(text);
        Object value = json.value();
        json.skipBlanks();
        if (json.at != text.length()) {
            throw new IllegalArgumentException("more after the value at " + json.at);
        }
        return value;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text);
    }

    static long number(Map<String, Object> object, String name) {
        Object value = object.get(name);
        return value == null ? 0 : ((Number) value).longValue();
    }

    static String text(Map<String, Object> object, String name) {
        Object value = object.get(name);
        return value == null ? "" : (String) value;
    }

    private Object value() {
        skipBlanks();
        char c = text.charAt(at);
        switch (c) {
            case '{':
                return objectValue();
            case '[':
                return arrayValue();
            case '"':
                return stringValue();
            case 't':
                at += 4;
                return Boolean.TRUE;
            case 'f':
                at += 5;
                return Boolean.FALSE;
            case 'n':
                at += 4;
                return null;
            default:
                return numberValue();
        }
    }

    private Map<String, Object> objectValue() {
        Map<String, Object> object = new LinkedHashMap<>();
        at++;
        skipBlanks();
        while (text.charAt(at) != '}') {
            skipBlanks();
            String name = stringValue();
            skipBlanks();
            expect(':');
            object.put(name, value());
            skipBlanks();
            if (text.charAt(at) == ',') {
                at++;
                skipBlanks();
            }
        }
        at++;
        return object;
    }

    private List<Object> arrayValue() {
        List<Object> list = new ArrayList<>();
        at++;
        skipBlanks();
        while (text.charAt(at) != ']') {
            list.add(value());
            skipBlanks();
            if (text.charAt(at) == ',') {
                at++;
                skipBlanks();
            }
        }
        at++;
        return list;
    }

    private String stringValue() {
        expect('"');
        StringBuilder out = new StringBuilder();
        while (text.charAt(at) != '"') {
            char c = text.charAt(at++);
            if (c != '\\') {
                out.append(c);
                continue;
            }
            char escaped = text.charAt(at++);
            switch (escaped) {
                case 'n' -> out.append('\n');
                case 't' -> out.append('\t');
                case 'r' -> out.append('\r');
                case 'b' -> out.append('\b');
                case 'f' -> out.append('\f');
                case 'u' -> {
                    out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                    at += 4;
                }
                default -> out.append(escaped);
            }
        }
        at++;
        return out.toString();
    }

    private Object numberValue() {
        int from = at;
        while (at < text.length() && "+-.eE0123456789".indexOf(text.charAt(at)) >= 0) {
            at++;
        }
        String digits = text.substring(from, at);
        try {
            return Long.valueOf(digits);
        } catch (NumberFormatException fraction) {
            return Double.valueOf(digits);
        }
    }

    private void expect(char c) {
        if (text.charAt(at) != c) {
            throw new IllegalArgumentException("expected " + c + " at " + at);
        }
        at++;
    }

    private void skipBlanks() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
            at++;
        }
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        switch (value) {
            case null -> out.append("null");
            case String text -> writeText(text, out);
            case Map<?, ?> map -> {
                String separator = "{";
                for (Map.Entry<?, ?> entry : map.entrySet()) {
                    out.append(separator);
                    writeText((String) entry.getKey(), out);
                    out.append(':');
                    write(entry.getValue(), out);
                    separator = ",";
                }
                out.append(map.isEmpty() ? "{}" : "}");
            }
            case List<?> list -> {
                String separator = "[";
                for (Object element : list) {
                    out.append(separator);
                    write(element, out);
                    separator = ",";
                }
                out.append(list.isEmpty() ? "[]" : "]");
            }
            default -> out.append(value);
        }
    }

    private static void writeText(String text, StringBuilder out) {
        out.append('"');
        for (int index = 0; index < text.length(); index++) {
            char c = text.charAt(index);
            if (c == '"' || c == '\\') {
                out.append('\\').append(c);
            } else if (c < ' ') {
                out.append(String.format("\\u%04x", (int) c));
            } else {
                out.append(c);
            }
        }
        out.append('"');
    }
}
