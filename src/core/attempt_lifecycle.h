/* What changes an attempt together with its machine, its team or its task.
 *
 * An attempt is made by the placement, or when a heartbeat shows an attempt of an earlier leadership. It ends when its
 * worker reports the exit, or when its machine's incarnation is over. While it is reserved it counts in what its
 * machine and its team use; while it is bound it is the one attempt of its task.
 *
 * Lies above attempt.h, job.h and machine.h, which do not know each other's types beyond their names. */
#pragma once
#include "core/attempt.h"
#include "core/machine.h"
#include "core/task.h"

/* A new attempt on the machine, owned by it. `job` is NULL if the job is not open. */
FtAttempt *ft_attempt_new (FtMachine *machine, FtJob *job, const char *ref, guint index, guint64 id);

/* Counts the attempt in what its machine and its team use; may be repeated. */
void ft_attempt_reserve (FtAttempt *attempt);

/* Counts it there no longer; may be repeated. */
void ft_attempt_release (FtAttempt *attempt);

/* Makes it the attempt of its task, which has none, and moves the task to `state`. */
void ft_attempt_bind (FtAttempt *attempt, FtTaskState state);

/* The worker is to stop the attempt within `grace_s` seconds. A longer grace than that of an
 * earlier call is ignored. */
void ft_attempt_request_stop (FtAttempt *attempt, double grace_s);

/* The direct request with its start got no answer: it may still be executed, late. */
void ft_attempt_direct_start_unanswered (FtAttempt *attempt);

/* Its job is being cancelled: stops it, or ends it if its start never left this process. */
void ft_attempt_job_cancelled (FtAttempt *attempt);

/* Its job has ended and is about to be freed: nothing of the attempt is needed any more. */
void ft_attempt_job_ended (FtAttempt *attempt);

/* Its result is committed: ends it. */
void ft_attempt_result_committed (FtAttempt *attempt);

/* The attempt is known to be over, without a result that is still needed: releases its resources and unbinds its
 * task. Frees it unless its worker still lists its exit. */
void ft_attempt_end (FtAttempt *attempt);

/* Everything that ran in the machine's incarnations so far is over: ends its attempts. */
void ft_attempt_end_incarnation (FtMachine *machine);
