package org.nettlering.wire.codec;

import org.nettlering.domain.queue.PoolSettings;
import org.nettlering.domain.queue.QueueConfiguration;
import org.nettlering.domain.queue.QueueSettings;
import org.nettlering.domain.queue.QueueTerms;
import org.nettlering.domain.queue.RequestLimits;
import org.nettlering.wire.proto.WorkflowProto.PoolMessage;
import org.nettlering.wire.proto.WorkflowProto.QueueConfigurationMessage;
import org.nettlering.wire.proto.WorkflowProto.QueueMessage;
import org.nettlering.wire.proto.WorkflowProto.QueueTermsMessage;
import org.nettlering.wire.proto.WorkflowProto.RequestLimitsMessage;

/** Encodes and decodes configurations of queues. */
public final class QueueCodec {
    private QueueCodec() {}

    /**
     * Encodes a configuration.
     *
     * @param configuration the configuration, not null
     * @return the message, never null
     */
    public static QueueConfigurationMessage encode(QueueConfiguration configuration) {
        QueueConfigurationMessage.Builder message = QueueConfigurationMessage.newBuilder()
                .setVersion(configuration.version())
                .setLimits(encode(configuration.limits()))
                .setDocument(configuration.document());
        configuration.queues().forEach(queue -> message.addQueues(encode(queue)));
        configuration.pools().forEach(pool -> message.addPools(encode(pool)));
        return message.build();
    }

    /**
     * Decodes and checks a configuration.
     *
     * @param message the message, not null
     * @return the configuration; {@code NONE} for version zero, never null
     * @throws org.nettlering.domain.error.NettleringException with {@code INVALID_CONFIGURATION} if it is not valid
     */
    public static QueueConfiguration decode(QueueConfigurationMessage message) {
        if (message.getVersion() == 0) {
            return QueueConfiguration.NONE;
        }
        return QueueConfiguration.of(
                message.getVersion(),
                message.getQueuesList().stream().map(QueueCodec::decode).toList(),
                message.getPoolsList().stream().map(QueueCodec::decode).toList(),
                decode(message.getLimits()),
                message.getDocument());
    }

    private static QueueMessage encode(QueueSettings queue) {
        return QueueMessage.newBuilder()
                .setName(queue.name())
                .setAuthority(queue.authority())
                .setPathPrefix(queue.pathPrefix())
                .setPool(queue.pool())
                .setTimeoutMillis(queue.timeoutMillis())
                .setTerms(encode(queue.terms()))
                .build();
    }

    private static QueueSettings decode(QueueMessage message) {
        return new QueueSettings(
                message.getName(),
                message.getAuthority(),
                message.getPathPrefix(),
                message.getPool(),
                message.getTimeoutMillis(),
                decode(message.getTerms()));
    }

    static QueueTermsMessage encode(QueueTerms terms) {
        return QueueTermsMessage.newBuilder()
                .setPriority(terms.priority())
                .setAttempts(terms.attempts())
                .setStretch(terms.stretch())
                .setTargetMillis(terms.targetMillis())
                .setAdvised(terms.advised())
                .build();
    }

    static QueueTerms decode(QueueTermsMessage message) {
        return new QueueTerms(
                message.getPriority(),
                message.getAttempts(),
                message.getStretch(),
                message.getTargetMillis(),
                message.getAdvised());
    }

    private static PoolMessage encode(PoolSettings pool) {
        return PoolMessage.newBuilder()
                .setName(pool.name())
                .setEnforcesCapacity(pool.enforcesCapacity())
                .setStandby(pool.standby())
                .build();
    }

    private static PoolSettings decode(PoolMessage message) {
        return new PoolSettings(message.getName(), message.getEnforcesCapacity(), message.getStandby());
    }

    /**
     * Encodes the limits on requests.
     *
     * @param limits the limits, not null
     * @return the message, never null
     */
    public static RequestLimitsMessage encode(RequestLimits limits) {
        return RequestLimitsMessage.newBuilder()
                .setMaxHeaderBytes(limits.maxHeaderBytes())
                .setMaxBodyBytes(limits.maxBodyBytes())
                .setHeaderTimeoutMillis(limits.headerTimeoutMillis())
                .setIdleTimeoutMillis(limits.idleTimeoutMillis())
                .build();
    }

    /**
     * Decodes the limits on requests.
     *
     * @param message the message, not null
     * @return the limits, never null
     */
    public static RequestLimits decode(RequestLimitsMessage message) {
        return new RequestLimits(
                message.getMaxHeaderBytes(),
                message.getMaxBodyBytes(),
                message.getHeaderTimeoutMillis(),
                message.getIdleTimeoutMillis());
    }
}
