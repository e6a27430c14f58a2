package org.nettlering.wire.codec;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.time.Instant;
import java.util.HexFormat;
import java.util.List;
import org.nettlering.domain.configuration.ConfigurationChange;
import org.nettlering.domain.configuration.ConfigurationOperation;
import org.nettlering.domain.configuration.ConfigurationOutcome;
import org.nettlering.domain.configuration.ConfigurationOutcome.Accepted;
import org.nettlering.domain.configuration.ConfigurationOutcome.Rejected;
import org.nettlering.domain.configuration.ConfigurationState;
import org.nettlering.domain.configuration.Interruption;
import org.nettlering.domain.configuration.Profile;
import org.nettlering.domain.configuration.RememberedOperation;
import org.nettlering.domain.configuration.RevisionRecord;
import org.nettlering.domain.configuration.Route;
import org.nettlering.domain.configuration.ServiceDefinition;
import org.nettlering.domain.configuration.SiteConfiguration;
import org.nettlering.domain.configuration.Team;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.wire.proto.ConfigurationProto;

/**
 * Converts the configuration between its messages and its domain values.
 *
 * <p>Reading checks the values. Stateless and thread-safe.
 */
public final class ConfigurationCodec {
    private ConfigurationCodec() {}

    /**
     * Reads a configuration.
     *
     * @param message the message, not null
     * @return the configuration, never null
     * @throws NettleringException {@code INVALID_ARGUMENT} or {@code INVALID_CONFIGURATION} if a value is wrong
     */
    public static SiteConfiguration toConfiguration(ConfigurationProto.SiteConfiguration message) {
        return SiteConfiguration.of(
                message.getRevision(),
                message.getProfilesList().stream()
                        .map(ConfigurationCodec::toProfile)
                        .toList(),
                message.getServicesList().stream()
                        .map(ConfigurationCodec::toService)
                        .toList(),
                message.getTeamsList().stream().map(ConfigurationCodec::toTeam).toList(),
                message.getPowerCapMilliwatts());
    }

    /**
     * Writes a configuration.
     *
     * @param configuration the configuration, not null
     * @return the message, never null
     */
    public static ConfigurationProto.SiteConfiguration toMessage(SiteConfiguration configuration) {
        ConfigurationProto.SiteConfiguration.Builder builder = ConfigurationProto.SiteConfiguration.newBuilder()
                .setRevision(configuration.revision())
                .setPowerCapMilliwatts(configuration.powerCapMilliwatts());
        configuration.profiles().values().forEach(profile -> builder.addProfiles(toMessage(profile)));
        configuration.services().values().forEach(service -> builder.addServices(toMessage(service)));
        configuration.teams().values().forEach(team -> builder.addTeams(toMessage(team)));
        return builder.build();
    }

    /**
     * Reads an operator's request.
     *
     * @param command the message, not null
     * @return the operation, never null
     * @throws NettleringException {@code INVALID_ARGUMENT} if a value is wrong
     */
    public static ConfigurationOperation toOperation(ConfigurationProto.ConfigurationCommand command) {
        return new ConfigurationOperation(
                command.getOperationId(),
                command.getOperatorName(),
                command.getExpectedRevision(),
                toChanges(command.getChangesList()),
                Instant.ofEpochMilli(command.getTimeUnixMillis()),
                digest(command));
    }

    /**
     * Reads a record of a revision.
     *
     * @param message the message, not null
     * @return the record, never null
     * @throws NettleringException {@code INVALID_ARGUMENT} if a value is wrong
     */
    public static RevisionRecord toRecord(ConfigurationProto.RevisionRecord message) {
        return new RevisionRecord(
                message.getRevision(),
                message.getOperationId(),
                message.getOperatorName(),
                Instant.ofEpochMilli(message.getTimeUnixMillis()),
                toChanges(message.getChangesList()));
    }

    /**
     * Writes a record of a revision.
     *
     * @param record the record, not null
     * @return the message, never null
     */
    public static ConfigurationProto.RevisionRecord toMessage(RevisionRecord record) {
        ConfigurationProto.RevisionRecord.Builder builder = ConfigurationProto.RevisionRecord.newBuilder()
                .setRevision(record.revision())
                .setOperationId(record.operationId())
                .setOperatorName(record.operatorName())
                .setTimeUnixMillis(record.time().toEpochMilli());
        record.changes().forEach(change -> builder.addChanges(toMessage(change)));
        return builder.build();
    }

    /**
     * Writes an outcome.
     *
     * @param outcome the outcome, not null
     * @return the message, never null
     */
    public static ConfigurationProto.ConfigurationResult toMessage(ConfigurationOutcome outcome) {
        ConfigurationProto.ConfigurationResult.Builder builder = ConfigurationProto.ConfigurationResult.newBuilder();
        return switch (outcome) {
            case Accepted(long revision) ->
                builder.setRevision(revision).setCurrentRevision(revision).build();
            case Rejected(ErrorCode code, String message, long currentRevision) ->
                builder.setErrorCode(code.text())
                        .setErrorMessage(message)
                        .setCurrentRevision(currentRevision)
                        .build();
        };
    }

    /**
     * Reads an outcome.
     *
     * @param result the message, not null
     * @return the outcome, never null
     */
    public static ConfigurationOutcome toOutcome(ConfigurationProto.ConfigurationResult result) {
        if (result.getErrorCode().isEmpty()) {
            return new Accepted(result.getRevision());
        }
        return new Rejected(
                ErrorCode.parse(result.getErrorCode()), result.getErrorMessage(), result.getCurrentRevision());
    }

    /**
     * Writes a captured state.
     *
     * @param snapshot the captured state, not null
     * @return the message, never null
     */
    public static ConfigurationProto.ConfigurationSnapshot toMessage(ConfigurationState.Snapshot snapshot) {
        ConfigurationProto.ConfigurationSnapshot.Builder builder = ConfigurationProto.ConfigurationSnapshot.newBuilder()
                .setConfiguration(toMessage(snapshot.configuration()));
        snapshot.history().forEach(record -> builder.addHistory(toMessage(record)));
        snapshot.operations().forEach(operation -> builder.addOperations(toMessage(operation)));
        return builder.build();
    }

    /**
     * Reads a captured state.
     *
     * @param message the message, not null
     * @return the captured state, never null
     * @throws NettleringException {@code INVALID_ARGUMENT} or {@code INVALID_CONFIGURATION} if a value is wrong
     */
    public static ConfigurationState.Snapshot toSnapshot(ConfigurationProto.ConfigurationSnapshot message) {
        return new ConfigurationState.Snapshot(
                toConfiguration(message.getConfiguration()),
                message.getHistoryList().stream()
                        .map(ConfigurationCodec::toRecord)
                        .toList(),
                message.getOperationsList().stream()
                        .map(ConfigurationCodec::toRemembered)
                        .toList());
    }

    private static ConfigurationProto.RememberedOperation toMessage(RememberedOperation operation) {
        return ConfigurationProto.RememberedOperation.newBuilder()
                .setOperationId(operation.operationId())
                .setContentDigest(operation.contentDigest())
                .setResult(toMessage(operation.outcome()))
                .build();
    }

    private static RememberedOperation toRemembered(ConfigurationProto.RememberedOperation message) {
        return new RememberedOperation(
                message.getOperationId(), message.getContentDigest(), toOutcome(message.getResult()));
    }

    private static List<ConfigurationChange> toChanges(List<ConfigurationProto.ConfigurationChange> messages) {
        return messages.stream().map(ConfigurationCodec::toChange).toList();
    }

    private static ConfigurationChange toChange(ConfigurationProto.ConfigurationChange message) {
        return switch (message.getChangeCase()) {
            case PUT_PROFILE -> new ConfigurationChange.PutProfile(toProfile(message.getPutProfile()));
            case REMOVE_PROFILE -> new ConfigurationChange.RemoveProfile(message.getRemoveProfile());
            case PUT_SERVICE -> new ConfigurationChange.PutService(toService(message.getPutService()));
            case REMOVE_SERVICE -> new ConfigurationChange.RemoveService(message.getRemoveService());
            case PUT_TEAM -> new ConfigurationChange.PutTeam(toTeam(message.getPutTeam()));
            case REMOVE_TEAM -> new ConfigurationChange.RemoveTeam(message.getRemoveTeam());
            case POWER_CAP_MILLIWATTS -> new ConfigurationChange.SetPowerCap(message.getPowerCapMilliwatts());
            case MOVE_SERVICE ->
                new ConfigurationChange.MoveService(
                        message.getMoveService().getService(),
                        message.getMoveService().getProfile());
            case CHANGE_NOT_SET ->
                throw new NettleringException(ErrorCode.INVALID_ARGUMENT, "a configuration change is empty");
        };
    }

    private static ConfigurationProto.ConfigurationChange toMessage(ConfigurationChange change) {
        ConfigurationProto.ConfigurationChange.Builder builder = ConfigurationProto.ConfigurationChange.newBuilder();
        switch (change) {
            case ConfigurationChange.PutProfile(Profile profile) -> builder.setPutProfile(toMessage(profile));
            case ConfigurationChange.RemoveProfile(String name) -> builder.setRemoveProfile(name);
            case ConfigurationChange.PutService(ServiceDefinition service) -> builder.setPutService(toMessage(service));
            case ConfigurationChange.RemoveService(String name) -> builder.setRemoveService(name);
            case ConfigurationChange.PutTeam(Team team) -> builder.setPutTeam(toMessage(team));
            case ConfigurationChange.RemoveTeam(String name) -> builder.setRemoveTeam(name);
            case ConfigurationChange.SetPowerCap(long milliwatts) -> builder.setPowerCapMilliwatts(milliwatts);
            case ConfigurationChange.MoveService(String service, String profile) ->
                builder.setMoveService(ConfigurationProto.MoveService.newBuilder()
                        .setService(service)
                        .setProfile(profile));
        }
        return builder.build();
    }

    private static Profile toProfile(ConfigurationProto.Profile message) {
        return new Profile(
                message.getName(),
                message.getUrgency(),
                toInterruption(message.getInterruption()),
                message.getPowerSharePercent());
    }

    private static ConfigurationProto.Profile toMessage(Profile profile) {
        return ConfigurationProto.Profile.newBuilder()
                .setName(profile.name())
                .setUrgency(profile.urgency())
                .setInterruption(toMessage(profile.interruption()))
                .setPowerSharePercent(profile.powerSharePercent())
                .build();
    }

    private static Interruption toInterruption(ConfigurationProto.Interruption message) {
        return switch (message) {
            case NEVER -> Interruption.NEVER;
            case THROTTLE -> Interruption.THROTTLE;
            case EVICT -> Interruption.EVICT;
            case INTERRUPTION_UNSPECIFIED, UNRECOGNIZED ->
                throw new NettleringException(
                        ErrorCode.INVALID_ARGUMENT, "the interruption of a profile must be NEVER, THROTTLE or EVICT");
        };
    }

    private static ConfigurationProto.Interruption toMessage(Interruption interruption) {
        return switch (interruption) {
            case NEVER -> ConfigurationProto.Interruption.NEVER;
            case THROTTLE -> ConfigurationProto.Interruption.THROTTLE;
            case EVICT -> ConfigurationProto.Interruption.EVICT;
        };
    }

    private static ServiceDefinition toService(ConfigurationProto.Service message) {
        return new ServiceDefinition(
                message.getName(),
                message.getProfile(),
                message.getRoutesList().stream()
                        .map(route -> new Route(route.getHost(), route.getPathPrefix()))
                        .toList(),
                Duration.ofMillis(message.getRequestTimeoutMillis()),
                message.getQueueCapacity());
    }

    private static ConfigurationProto.Service toMessage(ServiceDefinition service) {
        ConfigurationProto.Service.Builder builder = ConfigurationProto.Service.newBuilder()
                .setName(service.name())
                .setProfile(service.profile())
                .setRequestTimeoutMillis(
                        Math.toIntExact(service.requestTimeout().toMillis()))
                .setQueueCapacity(service.queueCapacity());
        service.routes().forEach(route -> builder.addRoutes(toMessage(route)));
        return builder.build();
    }

    private static ConfigurationProto.Route toMessage(Route route) {
        return ConfigurationProto.Route.newBuilder()
                .setHost(route.host())
                .setPathPrefix(route.pathPrefix())
                .build();
    }

    private static Team toTeam(ConfigurationProto.Team message) {
        return new Team(
                message.getName(), message.getMillicores(), message.getMemoryMebibytes(), message.getAccelerators());
    }

    private static ConfigurationProto.Team toMessage(Team team) {
        return ConfigurationProto.Team.newBuilder()
                .setName(team.name())
                .setMillicores(team.millicores())
                .setMemoryMebibytes(team.memoryMebibytes())
                .setAccelerators(team.accelerators())
                .build();
    }

    /** Digests what the operator asked; the time is the leader's and differs between resends. */
    private static String digest(ConfigurationProto.ConfigurationCommand command) {
        byte[] content = command.toBuilder().clearTimeUnixMillis().build().toByteArray();
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(content));
        } catch (NoSuchAlgorithmException exception) {
            throw new NettleringException(ErrorCode.INTERNAL, "SHA-256 is not available", exception);
        }
    }
}
