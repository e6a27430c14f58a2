package org.nettlering.operator.output;

import java.time.Instant;
import java.util.List;
import java.util.stream.Collectors;
import org.nettlering.wire.proto.ConfigurationProto.ConfigurationChange;
import org.nettlering.wire.proto.ConfigurationProto.Profile;
import org.nettlering.wire.proto.ConfigurationProto.RevisionRecord;
import org.nettlering.wire.proto.ConfigurationProto.Route;
import org.nettlering.wire.proto.ConfigurationProto.Service;
import org.nettlering.wire.proto.ConfigurationProto.SiteConfiguration;
import org.nettlering.wire.proto.ConfigurationProto.Team;
import org.nettlering.wire.proto.MembershipProto.MemberStatus;
import org.nettlering.wire.proto.MembershipProto.MembershipResponse;
import org.nettlering.wire.proto.OperatorProto.SiteStatus;
import org.nettlering.wire.proto.TaskProto.Decision;
import org.nettlering.wire.proto.TaskProto.JobList;
import org.nettlering.wire.proto.TaskProto.JobStatus;
import org.nettlering.wire.proto.TaskProto.PowerStatus;
import org.nettlering.wire.proto.TaskProto.Resources;
import org.nettlering.wire.proto.TaskProto.WorkerStatus;
import org.nettlering.wire.proto.WorkflowProto.EvacuationsMessage;

/** Writes the answers of the system for people. */
public final class Reports {
    private Reports() {}

    /**
     * Writes the profiles.
     *
     * @param site the configuration, not null
     * @return a table, never null
     */
    public static String profiles(SiteConfiguration site) {
        Table table = Table.of("PROFILE", "URGENCY", "INTERRUPTION", "POWER SHARE");
        for (Profile profile : site.getProfilesList()) {
            table.row(
                    profile.getName(),
                    profile.getUrgency(),
                    profile.getInterruption().name().toLowerCase(java.util.Locale.ROOT),
                    profile.getPowerSharePercent() + "%");
        }
        return table.toString();
    }

    /**
     * Writes the evacuated failure domains.
     *
     * @param evacuations the evacuations, not null
     * @return a table, never null
     */
    public static String evacuations(EvacuationsMessage evacuations) {
        Table table = Table.of("EVACUATED FAILURE DOMAIN");
        evacuations.getFailureDomainsList().forEach(table::row);
        return table.toString();
    }

    /**
     * Writes the services.
     *
     * @param site the configuration, not null
     * @return a table, never null
     */
    public static String services(SiteConfiguration site) {
        Table table = Table.of("SERVICE", "PROFILE", "ROUTES", "TIMEOUT", "QUEUE");
        for (Service service : site.getServicesList()) {
            String routes = service.getRoutesList().stream().map(Reports::route).collect(Collectors.joining(" "));
            table.row(
                    service.getName(),
                    service.getProfile(),
                    routes,
                    service.getRequestTimeoutMillis() + " ms",
                    service.getQueueCapacity());
        }
        return table.toString();
    }

    /**
     * Writes the teams.
     *
     * @param site the configuration, not null
     * @return a table, never null
     */
    public static String teams(SiteConfiguration site) {
        Table table = Table.of("TEAM", "MILLICORES", "MEMORY MIB", "ACCELERATORS");
        for (Team team : site.getTeamsList()) {
            table.row(team.getName(), team.getMillicores(), team.getMemoryMebibytes(), team.getAccelerators());
        }
        return table.toString();
    }

    /**
     * Writes the jobs.
     *
     * @param jobs the jobs, not null
     * @return a table, never null
     */
    public static String jobs(JobList jobs) {
        Table table = Table.of("JOB", "STATE", "TEAM", "PROFILE", "WORKER", "EPOCH");
        for (JobStatus job : jobs.getJobsList()) {
            table.row(
                    job.getJob().getJobId(),
                    job.getState(),
                    job.getJob().getTeam(),
                    job.getJob().getProfile(),
                    job.getWorkerId().isEmpty() ? "-" : job.getWorkerId(),
                    job.getEpoch());
        }
        return table.toString();
    }

    /**
     * Writes a job and why it is as it is.
     *
     * @param job the job, not null
     * @return several lines, never null
     */
    public static String job(JobStatus job) {
        Table table = Table.of("job", job.getJob().getJobId())
                .row("state", job.getState())
                .row("team", job.getJob().getTeam())
                .row("profile", job.getJob().getProfile())
                .row("class", job.getJob().getWorkClass())
                .row("declared", resources(job.getJob().getDeclared()))
                .row("power", Power.format(job.getJob().getPowerMilliwatts()))
                .row("worker", job.getWorkerId().isEmpty() ? "-" : job.getWorkerId())
                .row("epoch", job.getEpoch())
                .row("checkpoint", job.getCheckpointSequence());
        return table + decisions(job.getDecisionsList());
    }

    /**
     * Writes a worker and what was decided about it.
     *
     * @param worker the worker, not null
     * @return several lines, never null
     */
    public static String worker(WorkerStatus worker) {
        Table table = Table.of("worker", worker.getWorkerId())
                .row("state", worker.getState())
                .row("capacity", resources(worker.getCapacity()))
                .row("committed", resources(worker.getCommitted()))
                .row("jobs", String.join(" ", worker.getJobIdsList()));
        return table + decisions(worker.getDecisionsList());
    }

    /**
     * Writes the power cap and what is committed.
     *
     * @param power the power, not null
     * @return several lines, never null
     */
    public static String power(PowerStatus power) {
        Table table = Table.of("cap", Power.format(power.getCapMilliwatts()))
                .row("committed", Power.format(power.getCommittedMilliwatts()))
                .row("peak", Power.format(power.getPeakCommittedMilliwatts()));
        if (power.getAboveCap()) {
            table.row("above the cap until", instant(power.getExpectedMetUnixMillis()));
        }
        if (!power.getExplanation().isEmpty()) {
            table.row("why", power.getExplanation());
        }
        power.getProfilesList()
                .forEach(profile -> table.row(
                        "profile " + profile.getProfile(),
                        Power.format(profile.getCommittedMilliwatts()) + " of "
                                + Power.format(profile.getShareMilliwatts())));
        return table.toString();
    }

    /**
     * Writes the control members.
     *
     * @param members the members, not null
     * @return a table, never null
     */
    public static String members(MembershipResponse members) {
        Table table = Table.of("MEMBER", "ROLE", "ADDRESS", "FAILURE DOMAIN", "BEHIND", "LAST HEARD");
        for (MemberStatus member : members.getMembersList()) {
            table.row(
                    member.getMemberId(),
                    role(members, member),
                    member.getAddress(),
                    member.getFailureDomain(),
                    Math.max(0, members.getCommitIndex() - member.getMatchIndex()),
                    member.getLastHeardMillis() + " ms ago");
        }
        return table + "term " + members.getTerm() + ", commit index " + members.getCommitIndex()
                + ", survives the loss of "
                + members.getSurvivableMembers() + " members or of the failure domains "
                + String.join(", ", members.getSurvivableFailureDomainsList()) + System.lineSeparator();
    }

    /**
     * Writes who leads and how that came about.
     *
     * @param members the members, not null
     * @return a line and a table, never null
     */
    public static String leader(MembershipResponse members) {
        Table table = Table.of("TIME", "TERM", "WHAT", "LEADER", "REASON");
        members.getLeaderChangesList()
                .forEach(change -> table.row(
                        instant(change.getTimeUnixMillis()),
                        change.getTerm(),
                        change.getWhat(),
                        change.getLeaderId(),
                        change.getReason()));
        return "leader " + members.getLeaderId() + ", term " + members.getTerm() + ", as the leader saw it:"
                + System.lineSeparator() + table;
    }

    /**
     * Writes accepted revisions.
     *
     * @param records the revisions, not null
     * @return a table, never null
     */
    public static String revisions(List<RevisionRecord> records) {
        Table table = Table.of("REVISION", "TIME", "OPERATOR", "OPERATION", "CHANGES");
        for (RevisionRecord record : records) {
            String changes =
                    record.getChangesList().stream().map(Reports::change).collect(Collectors.joining("; "));
            table.row(
                    record.getRevision(),
                    instant(record.getTimeUnixMillis()),
                    record.getOperatorName(),
                    record.getOperationId(),
                    changes);
        }
        return table.toString();
    }

    /**
     * Writes the state of the site.
     *
     * @param status the state, not null
     * @return several lines, never null
     */
    public static String status(SiteStatus status) {
        Table table = Table.of("entry", status.getEntryId())
                .row("ready", status.getEntryReady() ? "yes" : "no: " + status.getEntryReason())
                .row("configuration", "revision " + status.getConfigurationRevision());
        status.getProblemsList().forEach(problem -> table.row("problem", problem));
        String members = status.hasMembership() ? members(status.getMembership()) : "";
        String power = status.hasPower() ? power(status.getPower()) : "";
        return table + members + power;
    }

    private static String decisions(List<Decision> decisions) {
        Table table = Table.of("TIME", "DECISION", "RULE", "FIGURES");
        decisions.forEach(decision -> table.row(
                instant(decision.getTimeUnixMillis()), decision.getWhat(), decision.getRule(), decision.getFigures()));
        return table.toString();
    }

    private static String change(ConfigurationChange change) {
        return switch (change.getChangeCase()) {
            case PUT_PROFILE -> "put profile " + change.getPutProfile().getName();
            case REMOVE_PROFILE -> "remove profile " + change.getRemoveProfile();
            case PUT_SERVICE -> "put service " + change.getPutService().getName();
            case REMOVE_SERVICE -> "remove service " + change.getRemoveService();
            case PUT_TEAM -> "put team " + change.getPutTeam().getName();
            case REMOVE_TEAM -> "remove team " + change.getRemoveTeam();
            case POWER_CAP_MILLIWATTS -> "set the power cap to " + Power.format(change.getPowerCapMilliwatts());
            case MOVE_SERVICE ->
                "move service " + change.getMoveService().getService() + " to profile "
                        + change.getMoveService().getProfile();
            case CHANGE_NOT_SET -> "nothing";
        };
    }

    private static String role(MembershipResponse members, MemberStatus member) {
        if (member.getMemberId().equals(members.getLeaderId())) {
            return "leader";
        }
        return member.getVoting() ? "voter" : "learner";
    }

    private static String route(Route route) {
        return route.getHost() + route.getPathPrefix();
    }

    private static String resources(Resources resources) {
        return resources.getMillicores() + " millicores, " + resources.getMemoryMebibytes() + " MiB, "
                + resources.getAccelerators() + " accelerators";
    }

    private static String instant(long unixMillis) {
        return Instant.ofEpochMilli(unixMillis).toString();
    }
}
