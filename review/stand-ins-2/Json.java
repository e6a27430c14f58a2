import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON: maps, lists, strings, numbers (long or double), booleans and null. */
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
            throw new IllegalArgumentException("text behind the JSON value at " + json.at);
        }
        return value;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text);
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
            case String string -> {
                out.append('"');
                for (char c : string.toCharArray()) {
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

    private void space() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
            at++;
        }
    }

    private char peek() {
        space();
        return text.charAt(at);
    }

    private void expect(char c) {
        if (peek() != c) {
            throw new IllegalArgumentException("expected " + c + " at " + at);
        }
        at++;
    }

    private Object value() {
        return switch (peek()) {
            case '{' -> map();
            case '[' -> list();
            case '"' -> string();
            case 't' -> word("true", true);
            case 'f' -> word("false", false);
            case 'n' -> word("null", null);
            default -> number();
        };
    }

    private Object word(String word, Object value) {
        if (!text.startsWith(word, at)) {
            throw new IllegalArgumentException("unknown word at " + at);
        }
        at += word.length();
        return value;
    }

    private Map<String, Object> map() {
        Map<String, Object> map = new LinkedHashMap<>();
        expect('{');
        if (peek() == '}') {
            at++;
            return map;
        }
        while (true) {
            space();
            String key = string();
            expect(':');
            map.put(key, value());
            if (peek() == '}') {
                at++;
                return map;
            }
            expect(',');
        }
    }

    private List<Object> list() {
        List<Object> list = new ArrayList<>();
        expect('[');
        if (peek() == ']') {
            at++;
            return list;
        }
        while (true) {
            list.add(value());
            if (peek() == ']') {
                at++;
                return list;
            }
            expect(',');
        }
    }

    private String string() {
        expect('"');
        StringBuilder out = new StringBuilder();
        while (text.charAt(at) != '"') {
            char c = text.charAt(at++);
            if (c == '\\') {
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
            } else {
                out.append(c);
            }
        }
        at++;
        return out.toString();
    }

    private Object number() {
        int start = at;
        while (at < text.length() && "+-0123456789.eE".indexOf(text.charAt(at)) >= 0) {
            at++;
        }
        String number = text.substring(start, at);
        if (number.contains(".") || number.contains("e") || number.contains("E")) {
            return Double.parseDouble(number);
        }
        return Long.parseLong(number);
    }
}
