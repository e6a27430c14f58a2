package org.nettlering.project;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.classfile.ClassFile;
import java.lang.classfile.ClassModel;
import java.lang.classfile.constantpool.MemberRefEntry;
import java.lang.classfile.constantpool.PoolEntry;
import java.lang.classfile.constantpool.Utf8Entry;
import java.net.URI;
import java.nio.file.FileSystem;
import java.nio.file.FileSystems;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** A class of the project as the compiler left it: its name, the types and members that it names, and all of its texts. */
record CompiledClass(String name, TreeSet<String> types, TreeSet<String> members, TreeSet<String> texts) {
    private static final Pattern TYPE = Pattern.compile("\\bL?((?:[a-z0-9_]+/)+[A-Za-z0-9_$]+)");

    private static final Pattern MODULE_JAR = Pattern.compile(".*nettlering-[a-z]+-[^/]*\\.jar");

    /** Reads every class of the modules on the class path, without their tests. */
    static List<CompiledClass> all() {
        List<CompiledClass> classes = new ArrayList<>();
        for (String entry : System.getProperty("java.class.path").split(java.io.File.pathSeparator, -1)) {
            if (entry.endsWith("target/classes")) {
                classes.addAll(readFolder(Path.of(entry)));
            } else if (MODULE_JAR.matcher(entry).matches()) {
                classes.addAll(readJar(Path.of(entry)));
            }
        }
        return classes;
    }

    /** Returns the module, which is the package below {@code org.nettlering}. */
    String module() {
        return moduleOf(name);
    }

    static String moduleOf(String name) {
        String[] parts = name.split("/", -1);
        return parts[2];
    }

    boolean isGenerated() {
        return name.startsWith("org/nettlering/wire/proto/");
    }

    private static List<CompiledClass> readJar(Path jar) {
        try (FileSystem files = FileSystems.newFileSystem(URI.create("jar:" + jar.toUri()), Map.of())) {
            return readFolder(files.getPath("/"));
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    private static List<CompiledClass> readFolder(Path folder) {
        Path root = folder.resolve("org/nettlering");
        if (!Files.isDirectory(root)) {
            return List.of();
        }
        try (Stream<Path> files = Files.walk(root)) {
            return files.filter(file -> file.toString().endsWith(".class"))
                    .map(CompiledClass::read)
                    .toList();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    private static CompiledClass read(Path file) {
        try {
            ClassModel model = ClassFile.of().parse(Files.readAllBytes(file));
            TreeSet<String> types = new TreeSet<>();
            TreeSet<String> members = new TreeSet<>();
            TreeSet<String> texts = new TreeSet<>();
            for (PoolEntry entry : model.constantPool()) {
                if (entry instanceof MemberRefEntry member) {
                    members.add(member.owner().asInternalName() + "."
                            + member.name().stringValue());
                }
                if (entry instanceof Utf8Entry text) {
                    addTypes(text.stringValue(), types);
                    texts.add(text.stringValue());
                }
            }
            return new CompiledClass(model.thisClass().asInternalName(), types, members, texts);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    private static void addTypes(String text, TreeSet<String> types) {
        Matcher matcher = TYPE.matcher(text);
        while (matcher.find()) {
            types.add(matcher.group(1));
        }
    }
}
