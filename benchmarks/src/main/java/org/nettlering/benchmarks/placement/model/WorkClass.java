package org.nettlering.benchmarks.placement.model;

import org.nettlering.domain.task.Resources;

/**
 * A class of work: what is declared of it and what is true.
 *
 * @param name the class's name, not null
 * @param profile the profile its jobs name, not null
 * @param team the team that submits it, not null
 * @param declared the declared size, not null
 * @param declaredMilliwatts the declared draw
 * @param declaredRunMillis the declared run time
 * @param millicores the true processor use, on average
 * @param memoryMebibytes the true memory use, on average
 * @param milliwatts the true draw at full speed, on average
 * @param runMillis the true run time undisturbed, on average
 * @param excessPerProcessor what each of its processors adds to the slowdown of a service beside it, in thousandths
 * @param deadlineMillis how long after submission it is due, zero if never
 * @param jobsPerHourAndWorker how many are submitted
 */
record WorkClass(
        String name,
        String profile,
        String team,
        Resources declared,
        long declaredMilliwatts,
        long declaredRunMillis,
        double millicores,
        double memoryMebibytes,
        double milliwatts,
        double runMillis,
        double excessPerProcessor,
        long deadlineMillis,
        double jobsPerHourAndWorker) {}
