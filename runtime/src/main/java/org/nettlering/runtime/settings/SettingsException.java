package org.nettlering.runtime.settings;

import java.util.List;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;

/** Says everything that is wrong with a settings file, one line a fault; its code is {@code INVALID_SETTINGS}. */
public final class SettingsException extends NettleringException {
    private static final long serialVersionUID = 1L;

    /** The faults, each with file, section and key. */
    private final transient List<String> faults;

    /**
     * Creates an exception.
     *
     * @param faults one line a fault, at least one, not null
     */
    public SettingsException(List<String> faults) {
        super(ErrorCode.INVALID_SETTINGS, String.join("\n", faults));
        this.faults = List.copyOf(faults);
    }

    /**
     * Returns the faults.
     *
     * @return one line a fault, never null
     */
    public List<String> faults() {
        return faults;
    }
}
