package org.nettlering.operator.command;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.operator.client.EntryRequest;
import org.nettlering.operator.output.Reports;
import org.nettlering.wire.proto.ConfigurationProto.ConfigurationChange;
import org.nettlering.wire.proto.ConfigurationProto.MoveService;
import org.nettlering.wire.proto.ConfigurationProto.Route;
import org.nettlering.wire.proto.ConfigurationProto.Service;
import org.nettlering.wire.proto.ConfigurationProto.SiteConfiguration;

/** The commands about services. */
public final class ServiceCommands extends CommandGroup {
    /** The command that was chosen. */
    @Argument(handler = SubCommandHandler.class, required = true, usage = "the command")
    @SubCommands({
        @SubCommand(name = "put", impl = ServiceCommands.Put.class),
        @SubCommand(name = "move", impl = ServiceCommands.Move.class),
        @SubCommand(name = "remove", impl = ServiceCommands.Remove.class),
        @SubCommand(name = "list", impl = ServiceCommands.ListAll.class)
    })
    private @Nullable OperatorCommand command;

    @Override
    public @Nullable Object chosen() {
        return command;
    }

    /** Adds or replaces a service. */
    public static final class Put extends ChangeCommand {
        private static final int DEFAULT_TIMEOUT_MILLIS = 10_000;

        private static final int DEFAULT_QUEUE_CAPACITY = 200;

        /** The name. */
        @Argument(required = true, metaVar = "NAME", usage = "name of the service")
        private String name = "";

        /** The profile. */
        @Option(name = "--profile", required = true, metaVar = "NAME", usage = "profile of the service")
        private String profile = "";

        /** The routes. */
        @Option(
                name = "--route",
                required = true,
                metaVar = "[HOST]/PREFIX",
                usage = "requests that the service answers; repeat it for more routes")
        private List<String> routes = new ArrayList<>();

        /** The timeout of a request. */
        @Option(name = "--request-timeout-millis", metaVar = "N", usage = "timeout of a request")
        private int requestTimeoutMillis = DEFAULT_TIMEOUT_MILLIS;

        /** The requests that may wait. */
        @Option(name = "--queue", metaVar = "N", usage = "requests that may wait at an entry")
        private int queueCapacity = DEFAULT_QUEUE_CAPACITY;

        @Override
        protected ConfigurationChange change() {
            Service.Builder service = Service.newBuilder()
                    .setName(name)
                    .setProfile(profile)
                    .setRequestTimeoutMillis(requestTimeoutMillis)
                    .setQueueCapacity(queueCapacity);
            routes.forEach(route -> service.addRoutes(parseRoute(route)));
            return ConfigurationChange.newBuilder().setPutService(service).build();
        }

        private static Route parseRoute(String text) {
            int slash = text.indexOf('/');
            if (slash < 0) {
                throw new NettleringException(
                        ErrorCode.INVALID_ARGUMENT, "\"" + text + "\" is no route; write [HOST]/PREFIX");
            }
            return Route.newBuilder()
                    .setHost(text.substring(0, slash))
                    .setPathPrefix(text.substring(slash))
                    .build();
        }
    }

    /** Moves a service to another profile. */
    public static final class Move extends ChangeCommand {
        /** The service. */
        @Argument(index = 0, required = true, metaVar = "SERVICE", usage = "name of the service")
        private String service = "";

        /** The profile. */
        @Argument(index = 1, required = true, metaVar = "PROFILE", usage = "profile to move it to")
        private String profile = "";

        @Override
        protected ConfigurationChange change() {
            MoveService move = MoveService.newBuilder()
                    .setService(service)
                    .setProfile(profile)
                    .build();
            return ConfigurationChange.newBuilder().setMoveService(move).build();
        }
    }

    /** Removes a service. */
    public static final class Remove extends ChangeCommand {
        /** The name. */
        @Argument(required = true, metaVar = "NAME", usage = "name")
        private String name = "";

        @Override
        protected ConfigurationChange change() {
            return ConfigurationChange.newBuilder().setRemoveService(name).build();
        }
    }

    /** Lists the services. */
    public static final class ListAll extends OperatorCommand {
        @Override
        public void run(Session session) {
            session.show(
                    EntryRequest.get("/v1/configuration"),
                    SiteConfiguration.newBuilder(),
                    site -> Reports.services(site.build()));
        }
    }
}
