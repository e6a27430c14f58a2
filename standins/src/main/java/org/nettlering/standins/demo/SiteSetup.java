package org.nettlering.standins.demo;

/** What the demonstrations put into a new site through the operators' program. */
final class SiteSetup {
    /** The cap of the site in watts. */
    static final long POWER_CAP_WATTS = 800;

    private SiteSetup() {}

    /** Puts in the profiles, the service, the teams and the power cap. */
    static void configure(OperatorProgram operator) {
        operator.run("power", "cap", "--watts", Long.toString(POWER_CAP_WATTS));
        operator.run(
                "profile", "put", "interactive", "--urgency", "90", "--interruption", "never", "--power-share", "40");
        operator.run("profile", "put", "batch", "--urgency", "20", "--interruption", "evict", "--power-share", "60");
        operator.run("team", "put", "studio", "--millicores", "60000", "--memory-mebibytes", "120000");
        operator.run("service", "put", DemoSite.SERVICE, "--profile", "interactive", "--route", "/");
    }

    /** Submits a batch job. */
    static void submitJob(OperatorProgram operator, String jobId, long runTimeMillis) {
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
                "--power-milliwatts",
                "50000",
                "--run-time-millis",
                Long.toString(runTimeMillis));
    }
}
