package org.nettlering.standins.site;

/** Puts a first configuration into a new site through the operators' program. */
public final class SiteSetup {
    /** The cap of the site in watts. */
    public static final long POWER_CAP_WATTS = 800;

    private static final long JOB_WATTS = 50;

    private SiteSetup() {}

    /**
     * Puts in the profiles, the service, the teams and the power cap.
     *
     * @param operator the operators' program, not null
     */
    public static void configure(OperatorProgram operator) {
        configure(operator, POWER_CAP_WATTS);
    }

    /**
     * Puts in the profiles, the service, the teams and another power cap.
     *
     * @param operator the operators' program, not null
     * @param powerCapWatts the cap in watts
     */
    public static void configure(OperatorProgram operator, long powerCapWatts) {
        operator.run("power-cap", "set", powerCapWatts + "W");
        operator.run(
                "profile", "put", "interactive", "--urgency", "90", "--interruption", "never", "--power-share", "40");
        operator.run("profile", "put", "batch", "--urgency", "20", "--interruption", "evict", "--power-share", "60");
        operator.run("team", "put", "studio", "--millicores", "60000", "--memory-mebibytes", "120000");
        operator.run("service", "put", LocalSite.SERVICE, "--profile", "interactive", "--route", "/");
    }

    /**
     * Submits a batch job.
     *
     * @param operator the operators' program, not null
     * @param jobId the name of the job, not null
     * @param runTimeSeconds the declared run time in seconds, which is also the real one
     */
    public static void submitJob(OperatorProgram operator, String jobId, long runTimeSeconds) {
        operator.run(
                "job",
                "submit",
                jobId,
                "--team",
                "studio",
                "--profile",
                "batch",
                "--class",
                "proof-bundle",
                "--millicores",
                "4000",
                "--memory-mebibytes",
                "4000",
                "--power",
                JOB_WATTS + "W",
                "--run-time-seconds",
                Long.toString(runTimeSeconds));
    }
}
