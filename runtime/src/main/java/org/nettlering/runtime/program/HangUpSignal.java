package org.nettlering.runtime.program;

import java.lang.reflect.Proxy;
import org.nettlering.runtime.log.EventLogger;
import org.nettlering.runtime.log.RuntimeEvent;

/**
 * The signal that the settings file has changed.
 *
 * <p>Without a handler the virtual machine ends on it. The handler is set by reflection, as the class for signals is not part
 * of the interface that the compiler shows. Where there is none, the program runs on without a reload.
 */
final class HangUpSignal {
    private static final EventLogger LOG = EventLogger.of(HangUpSignal.class);

    private HangUpSignal() {}

    /** Has something run on each SIGHUP, on a thread of the virtual machine. */
    static void handle(Runnable reload) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object proxy = Proxy.newProxyInstance(
                    HangUpSignal.class.getClassLoader(), new Class<?>[] {handler}, (self, method, arguments) -> {
                        if (method.getName().equals("handle")) {
                            reload.run();
                        }
                        return null;
                    });
            Object hangUp = signal.getConstructor(String.class).newInstance("HUP");
            signal.getMethod("handle", signal, handler).invoke(null, hangUp, proxy);
        } catch (ReflectiveOperationException exception) {
            LOG.log(RuntimeEvent.NO_RELOAD, exception);
        }
    }
}
