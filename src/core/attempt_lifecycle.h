/* Operations that change an attempt together with its machine, its team or its task.
 *
 * The placement creates attempts. An attempt is also created when a heartbeat shows one of an earlier leadership. An
 * attempt ends when its worker reports its exit or when its machine's incarnation is over. While it is reserved, its
 * resources count in the use of its machine and its team. While it is bound, its task points to it and to no other
 * attempt.
 *
 * This module is a layer above attempt.h, job.h and machine.h, which only forward-declare each other's types. */
#pragma once
#include "core/attempt.h"
#include "core/machine.h"
#include "core/task.h"

/* Creates an attempt on the machine, which owns it. `job` is NULL if the job is not open. */
FtAttempt *ft_attempt_new (FtMachine *machine, FtJob *job, const char *ref, guint index, guint64 id);

/* Adds the attempt's resources to the use of its machine and its team, unless they count there already. */
void ft_attempt_reserve (FtAttempt *attempt);

/* Subtracts the attempt's resources from the use of its machine and its team, if they count there. */
void ft_attempt_release (FtAttempt *attempt);

/* Binds the attempt to its task, which must be unbound, and changes the task's state to `state`. */
void ft_attempt_bind (FtAttempt *attempt, FtTaskState state);

/* Requests that the worker stop the attempt within `grace_s` seconds. Ignored if an earlier request gives the attempt
 * the same grace period or a shorter one. */
void ft_attempt_request_stop (FtAttempt *attempt, double grace_s);

/* Records that the direct request with the attempt's start got no answer: the worker may still execute it later. */
void ft_attempt_direct_start_unanswered (FtAttempt *attempt);

/* Stops the attempt, since its job is being cancelled. An attempt whose start cannot be executed any more ends at
 * once. */
void ft_attempt_job_cancelled (FtAttempt *attempt);

/* Detaches the attempt from its job, which has ended and is about to be freed. An attempt that has exited becomes
 * forgettable, and any other is stopped. */
void ft_attempt_job_ended (FtAttempt *attempt);

/* Ends an attempt that has exited, since its result is committed. */
void ft_attempt_result_committed (FtAttempt *attempt);

/* Ends an attempt that no longer runs and whose result is not needed: releases its resources and unbinds its task.
 * Frees the attempt unless its worker still lists it as exited. */
void ft_attempt_end (FtAttempt *attempt);

/* Ends all attempts on the machine, since its incarnation is over and nothing that it ran is left. */
void ft_attempt_end_incarnation (FtMachine *machine);
