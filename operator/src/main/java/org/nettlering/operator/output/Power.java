package org.nettlering.operator.output;

import java.math.BigDecimal;
import java.util.List;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;

/** Reads and writes amounts of electric power; the system counts in milliwatts. */
public final class Power {
    private static final List<Unit> UNITS =
            List.of(new Unit("MW", 1_000_000_000), new Unit("kW", 1_000_000), new Unit("mW", 1), new Unit("W", 1_000));

    private Power() {}

    /**
     * Parses an amount.
     *
     * @param text a number with its unit, such as {@code 12.5kW}, not null
     * @return milliwatts, more than zero
     * @throws NettleringException with {@code INVALID_ARGUMENT} if the text is no amount in whole milliwatts
     */
    public static long parseMilliwatts(String text) {
        for (Unit unit : UNITS) {
            if (text.endsWith(unit.symbol())) {
                return parse(text, unit);
            }
        }
        throw invalid(text);
    }

    /**
     * Writes an amount.
     *
     * @param milliwatts the amount
     * @return the amount with its unit, such as {@code 12.5 kW}, never null
     */
    public static String format(long milliwatts) {
        Unit unit = milliwatts >= 1_000_000 ? UNITS.get(1) : UNITS.get(3);
        BigDecimal amount = BigDecimal.valueOf(milliwatts).divide(BigDecimal.valueOf(unit.milliwatts()));
        return amount.stripTrailingZeros().toPlainString() + " " + unit.symbol();
    }

    private static long parse(String text, Unit unit) {
        String number =
                text.substring(0, text.length() - unit.symbol().length()).strip();
        try {
            long milliwatts = new BigDecimal(number)
                    .multiply(BigDecimal.valueOf(unit.milliwatts()))
                    .longValueExact();
            if (milliwatts > 0) {
                return milliwatts;
            }
        } catch (ArithmeticException | NumberFormatException exception) {
            throw invalid(text);
        }
        throw invalid(text);
    }

    private static NettleringException invalid(String text) {
        return new NettleringException(
                ErrorCode.INVALID_ARGUMENT,
                "\"" + text + "\" is no amount of power; write a number and mW, W, kW or MW, such as 12.5kW");
    }

    private record Unit(String symbol, long milliwatts) {}
}
