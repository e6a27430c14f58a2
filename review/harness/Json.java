import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON: maps, lists, strings, longs, doubles, booleans and null. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        Json json = new Json(text);
        Object value = json.value();
        json.space();
        if (json.at != text.length()) {
            throw new IllegalArgumentException("text after the JSON value");
        }
        return value;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text);
    }

    private void space() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
            at++;
        }
    }

    private Object value() {
        space();
        char c = text.charAt(at);
        switch (c) {
            case '{' -> {
                Map<String, Object> map = new LinkedHashMap<>();
                at++;
                space();
                while (text.charAt(at) != '}') {
                    space();
                    String key = string();
                    space();
                    at++; // the colon
                    map.put(key, value());
                    space();
                    if (text.charAt(at) == ',') {
                        at++;
                    }
                    space();
                }
                at++;
                return map;
            }
            case '[' -> {
                List<Object> list = new ArrayList<>();
                at++;
                space();
                while (text.charAt(at) != ']') {
                    list.add(value());
                    space();
                    if (text.charAt(at) == ',') {
                        at++;
                    }
                    space();
                }
                at++;
                return list;
            }
            case '"' -> {
                return string();
            }
            case 't' -> {
                at += 4;
                return true;
            }
            case 'f' -> {
                at += 5;
                return false;
            }
            case 'n' -> {
                at += 4;
                return null;
            }
            default -> {
                int from = at;
                while (at < text.length() && "+-.0123456789eE".indexOf(text.charAt(at)) >= 0) {
                    at++;
                }
                String number = text.substring(from, at);
                return number.matches("-?\\d+") ? (Object) Long.valueOf(number) : Double.valueOf(number);
            }
        }
    }

    private String string() {
        if (text.charAt(at) != '"') {
            throw new IllegalArgumentException("no string at " + at);
        }
        StringBuilder read = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char c = text.charAt(at++);
            if (c != '\\') {
                read.append(c);
                continue;
            }
            char escape = text.charAt(at++);
            switch (escape) {
                case 'n' -> read.append('\n');
                case 't' -> read.append('\t');
                case 'r' -> read.append('\r');
                case 'b' -> read.append('\b');
                case 'f' -> read.append('\f');
                case 'u' -> {
                    read.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                    at += 4;
                }
                default -> read.append(escape);
            }
        }
        at++;
        return read.toString();
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        switch (value) {
            case null -> out.append("null");
            case Map<?, ?> map -> {
                out.append('{');
                String comma = "";
                for (Map.Entry<?, ?> entry : map.entrySet()) {
                    out.append(comma);
                    write(String.valueOf(entry.getKey()), out);
                    out.append(':');
                    write(entry.getValue(), out);
                    comma = ",";
                }
                out.append('}');
            }
            case List<?> list -> {
                out.append('[');
                String comma = "";
                for (Object element : list) {
                    out.append(comma);
                    write(element, out);
                    comma = ",";
                }
                out.append(']');
            }
            case String text -> {
                out.append('"');
                for (char c : text.toCharArray()) {
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
            default -> out.append(value);
        }
    }
}
