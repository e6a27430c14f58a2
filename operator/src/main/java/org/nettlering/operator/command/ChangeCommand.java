package org.nettlering.operator.command;

import org.kohsuke.args4j.Option;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.operator.client.EntryRequest;
import org.nettlering.operator.client.OperatorException;
import org.nettlering.runtime.program.ExitCode;
import org.nettlering.wire.proto.ConfigurationProto.ConfigurationChange;
import org.nettlering.wire.proto.ConfigurationProto.ConfigurationCommand;
import org.nettlering.wire.proto.ConfigurationProto.ConfigurationResult;
import org.nettlering.wire.proto.ConfigurationProto.SiteConfiguration;

/** A command that changes the configuration: one change, under an expected revision and an operation id. */
public abstract class ChangeCommand extends OperatorCommand {
    private static final long NONE = -1;

    /** The id under which the change is remembered. */
    @Option(
            name = "--operation-id",
            metaVar = "ID",
            usage = "id of the operation; repeat a change whose outcome is unknown with the same id")
    private String operationId = "";

    /** The revision that the operator knows. */
    @Option(
            name = "--expect",
            metaVar = "REVISION",
            usage = "refuse the change unless this is the current revision; default: the revision read just before")
    private long expectedRevision = NONE;

    /** Who makes the change. */
    @Option(name = "--operator", metaVar = "NAME", usage = "name that is recorded with the change")
    private String operator = System.getProperty("user.name", "");

    /**
     * Returns the change that the command line describes.
     *
     * @return the change, never null
     */
    protected abstract ConfigurationChange change();

    @Override
    public final void run(Session session) {
        ConfigurationChange change = change();
        String id = operationId.isEmpty() ? session.newOperationId() : operationId;
        long expected = expectedRevision == NONE ? currentRevision(session) : expectedRevision;
        ConfigurationCommand command = ConfigurationCommand.newBuilder()
                .setOperationId(id)
                .setOperatorName(operator)
                .setExpectedRevision(expected)
                .addChanges(change)
                .build();
        EntryRequest request = EntryRequest.change("/v1/configuration/changes", session.toJson(command));
        try {
            session.show(
                    request,
                    ConfigurationResult.newBuilder(),
                    result -> "revision " + result.getRevision() + System.lineSeparator());
        } catch (OperatorException exception) {
            throw withRepeatHint(exception, "--operation-id " + id + " --expect " + expected);
        }
    }

    private static long currentRevision(Session session) {
        return session.read(EntryRequest.get("/v1/configuration"), SiteConfiguration.newBuilder())
                .getRevision();
    }

    /** Tells how to repeat a change whose outcome is unknown. */
    static OperatorException withRepeatHint(OperatorException exception, String options) {
        if (exception.exitCode() != ExitCode.UNKNOWN_OUTCOME) {
            return exception;
        }
        ErrorCode code = exception.code();
        String message = exception.getMessage() + "; repeat the command with " + options;
        return new OperatorException(code, message, exception.exitCode());
    }
}
