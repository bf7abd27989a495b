/* The rules by which the placement ranks jobs and machines. All ranking rules are in this module.
 *
 * Jobs are served in the order of ft_placement_rank_jobs(). A task gets the machine with the lowest value of
 * ft_placement_rank_machine() among the machines that it may use. Called by placement.c and placement_search.c. */
#pragma once
#include "core/job.h"
#include "core/machine.h"

/* Updates the parts of a job's rank that change with time: whether the job is too late for its deadline, and whether it
 * is starved. `now` is in microseconds. */
void ft_placement_rank_refresh (FtJob *job, gint64 now);

/* Compares two elements of an array of FtJob; negative if the first job is served first. For g_ptr_array_sort(). */
gint ft_placement_rank_jobs (gconstpointer first_element, gconstpointer second_element);

/* Returns the cost, in seconds, of running a task of the job on the machine; a lower cost is better. `spot_delay_s`:
 * expected delay of the job's end if the job runs on spot machines. */
double ft_placement_rank_machine (const FtMachine *machine, const FtJob *job, double spot_delay_s);
