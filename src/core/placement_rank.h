/* How the placement weighs jobs and machines against each other: the rules alone, all of them here.
 *
 * Jobs are served in the order of ft_placement_rank_jobs(); each takes the machine of the least
 * ft_placement_rank_machine() among those that it may use. Called by placement.c. */
#pragma once
#include "core/job.h"
#include "core/machine.h"

/* Brings up to date what of a job's rank changes with time: whether it is too late for its deadline, and whether it
 * is starved. `now` in microseconds. */
void ft_placement_rank_refresh (FtJob *job, gint64 now);

/* Compares two elements of an array of FtJob: negative if the first is served first. For g_ptr_array_sort(). */
gint ft_placement_rank_jobs (gconstpointer first_element, gconstpointer second_element);

/* What it costs, in seconds, to run a task of the job on the machine; smaller is better. `spot_delay_s`: expected
 * delay of the job's end if it runs on spot machines. */
double ft_placement_rank_machine (const FtMachine *machine, const FtJob *job, double spot_delay_s);
