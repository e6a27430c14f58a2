package org.nettlering.entry.operators;

import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import org.nettlering.wire.proto.MembershipProto.AddMember;
import org.nettlering.wire.proto.MembershipProto.ListMembers;
import org.nettlering.wire.proto.MembershipProto.MembershipRequest;
import org.nettlering.wire.proto.MembershipProto.RemoveMember;
import org.nettlering.wire.proto.MembershipProto.TransferLeadership;

/** Shows and changes the control members. Thread-safe. */
final class MemberRoutes {
    /** Reaches the control leader. */
    private final ControlForwarder forwarder;

    private MemberRoutes(ControlForwarder forwarder) {
        this.forwarder = forwarder;
    }

    static void register(Router router, ControlForwarder forwarder) {
        MemberRoutes routes = new MemberRoutes(forwarder);
        router.get("/v1/members").handler(routes::list);
        router.post("/v1/members").handler(routes::add);
        router.delete("/v1/members/:member").handler(routes::remove);
        router.post("/v1/leadership").handler(routes::transfer);
    }

    static MembershipRequest list() {
        return MembershipRequest.newBuilder()
                .setList(ListMembers.getDefaultInstance())
                .build();
    }

    private void list(RoutingContext routing) {
        forward(routing, list());
    }

    private void add(RoutingContext routing) {
        AddMember add = HttpResponses.parseBody(routing, AddMember.newBuilder()).build();
        forward(routing, MembershipRequest.newBuilder().setAdd(add).build());
    }

    private void remove(RoutingContext routing) {
        RemoveMember remove = RemoveMember.newBuilder()
                .setMemberId(routing.pathParam("member"))
                .build();
        forward(routing, MembershipRequest.newBuilder().setRemove(remove).build());
    }

    private void transfer(RoutingContext routing) {
        TransferLeadership transfer = HttpResponses.parseBody(routing, TransferLeadership.newBuilder())
                .build();
        forward(routing, MembershipRequest.newBuilder().setTransfer(transfer).build());
    }

    private void forward(RoutingContext routing, MembershipRequest request) {
        forwarder
                .forwardMembershipRequest(routing, request)
                .onSuccess(response -> HttpResponses.sendMessage(routing, 200, response))
                .onFailure(error -> HttpResponses.sendError(routing, error));
    }
}
