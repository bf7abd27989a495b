/* The constants of flintrack: each has its unit and, where a reader would wonder, the reason for its value. The values
 * of a deployment, such as limits and shares, come from the settings file. The constants here are defaults and margins
 * that hold for every deployment. */
#pragma once

/* Microseconds in a second: the program keeps all times in microseconds. */
#define FT_SECOND 1000000LL
/* Microseconds in a millisecond, which is the unit of wall times in stored rows and of durations in messages. */
#define FT_MILLISECOND 1000LL
/* Milliseconds in a second: the timers of the main loop take milliseconds. */
#define FT_MS_PER_SECOND 1000
/* Seconds in an hour: the prices of the cloud and the loss rate of spot machines are per hour. */
#define FT_HOUR_S 3600.0

/* ---- lease ---- */
/* Default lease time: seconds for which a leader may start tasks after it sent its last successful renewal. */
#define FT_LEASE_S 9.0
/* Default sweep period: seconds between two reads of the lease rows by a follower. */
#define FT_SWEEP_S 3.0
/* Default share by which a sweep period is jittered, so that followers do not read the rows at the same time. */
#define FT_SWEEP_JITTER 0.25
/* Seconds until a failed sweep is repeated. */
#define FT_SWEEP_RETRY_S 0.7
/* Seconds by which a suspected leader's renewal must be overdue before a follower claims the lease. */
#define FT_SUSPECT_MARGIN_S 1.0
/* Seconds for which the fence row must have been unchanged before a follower claims the lease at once on a
 * confirmed suspicion. Where controllers refuse each other's connections, leaders would otherwise replace each
 * other twice a second. */
#define FT_SUSPECT_FENCE_STABLE_S 15.0
/* Default number of renewals that a leader sends in one lease time. */
#define FT_RENEW_FRACTION 3.0
/* Share by which the rates of two steady clocks may differ. The protocol allows each clock 0.05 %, so two machines
 * may differ by twice that; the value is rounded up. */
#define FT_CLOCK_DRIFT 0.0011
/* Seconds by which a leader shortens every lease, because its timers may fire late. */
#define FT_LEASE_MARGIN_S 0.3
/* Seconds after which a leader starts no more tasks, counted from the time up to which it knows all cancellations.
 * A watch request whose answer is lost takes 4 of these seconds. */
#define FT_CANCELLATIONS_FRESH_S 6.0
/* Seconds by which the answer grace period is shortened, because timers may fire late. It is the longest time for
 * which a leader that cannot reach the key-value store may continue to answer heartbeats. */
#define FT_ANSWER_GRACE_MARGIN_S 2.0

/* Seconds without any worker heartbeat, beyond the longest regular gap, after which a leader considers itself cut
 * off from the workers and resigns. */
#define FT_CUT_OFF_MARGIN_S 1.5
/* Seconds for which heartbeats must have waited longer than FT_HEARTBEAT_LATE_S before a leader considers itself
 * too slow and resigns. */
#define FT_OVERRUN_S 4.0
/* Seconds that a leader must have led before it may resign because it is too slow: a failover causes much work, and
 * a successor may be no faster. */
#define FT_OVERRUN_LEADERSHIP_MIN_S 45.0
/* Seconds for which a controller reports to its peers that it has resigned or yielded leadership. */
#define FT_YIELD_ADVERTISED_S 3.0
/* Seconds for which a controller that has released the lease does not claim it, so that another controller does. */
#define FT_ABSTAIN_S 20.0

/* Shortest pause in seconds before a failed renewal is sent again. The pauses are short, so that several retries
 * fit into a lease time, and random, so that controllers do not retry at the same time. */
#define FT_RENEW_RETRY_MIN_S 0.2
/* Longest pause in seconds before a failed renewal is sent again. */
#define FT_RENEW_RETRY_MAX_S 0.5

/* ---- operators' settings ---- */
/* The operators' settings: name, field of FtTuning, unit, minimum, maximum, default, description. They are stored
 * in the key-value store and are changed only through the administration API. The value of log_level is an index
 * into FT_LOG_CHOICES. */
#define FT_OPERATOR_SETTINGS(X)                                                                                        \
  X ("lease_time", lease_s, "s", 2.0, 60.0, FT_LEASE_S, "how long a leader may act after a renewal was sent")          \
  X ("sweep_period", sweep_s, "s", 0.5, 30.0, FT_SWEEP_S, "how often a follower looks at the lease")                   \
  X ("sweep_jitter", sweep_jitter, "share", 0.0, 0.5, FT_SWEEP_JITTER, "by how much each sweep is moved at random")    \
  X ("renewal_fraction", renewals_per_lease, "count", 2.0, 10.0, FT_RENEW_FRACTION, "renewals sent in one lease time") \
  X ("sample_size", sample_size, "machines", 1.0, 500.0, FT_SAMPLE_SIZE, "machines with room compared in placing")     \
  X ("idle_time_spot", idle_spot_s, "s", 0.0, 3600.0, FT_IDLE_SPOT_S, "idle time before a spot machine is returned")   \
  X ("idle_time_ordinary", idle_ordinary_s, "s", 0.0, 3600.0, FT_IDLE_ORDINARY_S, "the same for an ordinary machine")  \
  X ("idle_reserve", headroom_per_boot_s, "share/s", 0.0, 0.1, FT_HEADROOM_PER_BOOT_S,                                 \
     "idle capacity kept, as a share of what is in use, for each second of boot time")                                 \
  X ("spot_share", spot_share, "share", 0.0, 1.0, 1.0, "most of the machines that may be spot machines")               \
  X ("log_level", log_level, "choice", 0.0, 3.0, 0.0, "what the controllers log")
/* The choices of the setting log_level. "environment" stands for the level in the environment variable LOG_LEVEL. */
#define FT_LOG_CHOICES                                                                                                 \
  {                                                                                                                    \
    "environment", "error", "info", "debug"                                                                            \
  }
/* Seconds of a lease that must remain after one renewal interval: if the answer to a renewal is lost, one retry
 * must fit into them. */
#define FT_RENEW_SLACK_S 0.5

/* ---- workers ---- */
/* Seconds for which a worker waits for the answer to its heartbeat (protocol). */
#define FT_WORKER_TIMEOUT_S 4.0
/* Seconds that a leader waits beyond a worker lease before it treats the worker's tasks as ended. */
#define FT_WORKER_LEASE_MARGIN_S 1.0
/* Longest regular gap between two heartbeats of a worker, in heartbeat intervals: the protocol lets a worker shift
 * each interval by up to a quarter. */
#define FT_HEARTBEAT_GAP_INTERVALS 1.25
/* Seconds by which the heartbeat of a machine may be overdue while the machine still gets new work. */
#define FT_USABLE_MARGIN_S 3.0
/* Seconds after which a direct command without an answer counts as unanswered. */
#define FT_COMMAND_TIMEOUT_S 2.0
/* Seconds between two log lines of the same kind about one machine. */
#define FT_MACHINE_LOG_EVERY_S 1.0
/* Tasks that a log line about one machine names. */
#define FT_MACHINE_LOG_TASKS 8
/* Seconds without a heartbeat, beyond the longest regular gap and the timeout of the worker, after which a machine
 * counts as silent. */
#define FT_SILENCE_MARGIN_S 2.0
/* Seconds between two probes of a machine. The pause doubles with each probe that gets no answer. */
#define FT_PROBE_EVERY_S 1.0
/* Seconds from a failover, or from the leader's answer to a heartbeat, until a machine that is not reconciled is
 * probed. Most machines report by themselves within that time, and a report costs a third of what a probe costs. */
#define FT_PROBE_FIRST_S 1.5
/* Seconds beyond the longest regular gap after which a heartbeat is overdue. */
#define FT_OVERDUE_MARGIN_S 1.0
/* Doublings of FT_PROBE_EVERY_S after which the pause between probes of a machine grows no further. */
#define FT_PROBE_DOUBLINGS 3
/* Probes in flight at once: the probes of a zone that is cut off must not block the probes of other machines. */
#define FT_PROBES_MAX 48
/* Successive heartbeats without a sign of the leader's answers after which a machine counts as not receiving: a
 * lost packet explains one such heartbeat. */
#define FT_UNACKNOWLEDGED_MAX 3
/* Seconds for which a machine must count as not receiving before it may be terminated: until then it is probed,
 * because the fault may be short. */
#define FT_NOT_RECEIVING_SCALE_IN_S 10.0
/* Worker tokens of one leadership: each leadership raises the fencing token by this number. Versions up to 2fcd8d5
 * accept fencing tokens up to G_MAXINT32 only. */
#define FT_WORKER_TOKENS 16384
/* Directly started attempts that a worker remembers after their exit before its worker token is renewed. */
#define FT_REMEMBERED_STARTS_RENEW 32
/* Seconds since the exit of a directly started attempt after which the worker token is renewed, however few attempts
 * the worker remembers. */
#define FT_REMEMBERED_START_S 30.0
/* Attempts on one machine, running or remembered, whose direct starts may still be copied, beyond which further starts
 * are sent in answers to heartbeats only: bounds the size of a heartbeat. */
#define FT_DIRECT_STARTS_MAX 128
/* Seconds between two ticks above which this controller counts as late itself: heartbeats missing in that time
 * count against no machine. */
#define FT_LATE_TICK_S 1.5
/* Unanswered probes after which a machine that has reported since the failover counts as silent once its heartbeat
 * is overdue. */
#define FT_SILENT_PROBES 1
/* Unanswered probes after which a machine that has not reported since the failover counts as silent once its
 * heartbeat is overdue. */
#define FT_SILENT_PROBES_FAILOVER 2
/* Share of the machines that may be terminated for silence within one window of FT_SILENT_SCALE_IN_WINDOW_S. */
#define FT_SILENT_SCALE_IN_SHARE 0.2
/* Time without a heartbeat, in worker leases, after which a machine may be terminated for silence while more
 * machines are lost than report: in that case the leader itself may be cut off. */
#define FT_SILENT_MAJORITY_LEASES 2
/* Machines that may be terminated for silence within one window, however small the fleet is. */
#define FT_SILENT_SCALE_IN_MIN 2
/* Length in seconds of the window for which the number of terminations for silence is limited. */
#define FT_SILENT_SCALE_IN_WINDOW_S 20.0
/* Seconds since the placement of a cancelled task, whose direct start got no answer, after which its machine gets
 * no new work. */
#define FT_START_IN_DOUBT_QUARANTINE_S 5.0
/* Share of cancel_s, since the placement of a cancelled task whose direct start got no answer, after which its
 * machine is terminated even while other work runs on the machine. */
#define FT_START_IN_DOUBT_SCALE_IN_SHARE 0.5
/* Machines that a zone must have to count as unreachable when none of them reports: fewer machines may have failed
 * independently. */
#define FT_ZONE_MEMBERS_MIN 3
/* Seconds between two launches in an unreachable zone: a launch shows whether the zone is reachable again. */
#define FT_ZONE_PROBE_EVERY_S 20.0
/* Seconds after which a leader terminates no machine for silence, counted from the time up to which it knows all
 * cancellations: the leader itself may be cut off. The answer to a watch request proves that the leader knows all
 * cancellations committed before it sent the request. While no row changes, the newest such proof is two watch
 * times old before the next one comes. */
#define FT_SILENT_SCALE_IN_STORE_SEEN_S (2 * FT_WATCH_S + 0.5)
/* Seconds by which an answer of the key-value store must be newer than the last report from an unreachable zone
 * before machines of the zone are terminated for silence: the newer answer shows that this leader is not cut off
 * together with the zone. */
#define FT_ZONE_STORE_ANSWERED_LATER_S 1.0
/* Seconds for which a machine of a type that the catalog does not offer must be idle before it is terminated: the
 * catalog may be read again in that time. */
#define FT_UNKNOWN_TYPE_SCALE_IN_S 60.0
/* Successive task failures that must count against a machine before it is quarantined: a single failure may be
 * chance. */
#define FT_QUARANTINE_FAULTS 2
/* Different machines on which tasks of a job must have failed before the failures are attributed to the job,
 * provided that no other task of the job has completed or runs well. */
#define FT_FAULTY_JOB_MACHINES 3
/* Seconds by which a running task must have outlasted the failed tasks of its job to count as running well: workers
 * report starts some seconds late. */
#define FT_FAULT_MARGIN_S 2.0
/* Attempts of a job that are examined for one that runs well: limits the cost of handling a failure. */
#define FT_FAULT_ATTEMPTS_MAX 256
/* Machines that may be in quarantine at once, however small the fleet is. */
#define FT_QUARANTINE_MIN 2
/* Share of all machines that may be in quarantine at once. */
#define FT_QUARANTINE_SHARE 0.25
/* Bits of an attempt number below the fencing token. The token is in the upper bits, so attempt numbers increase
 * from one leader to the next. */
#define FT_ATTEMPT_BITS 24
/* Highest fencing token that is accepted: attempt numbers with the token in their upper bits stay below 2^63. */
#define FT_FENCING_TOKEN_MAX (G_MAXINT64 >> FT_ATTEMPT_BITS)

/* ---- placement ---- */
/* Default number of machines with room that are compared for a task before the best is taken: limits the cost of a
 * placement. */
#define FT_SAMPLE_SIZE 64
/* Largest number of failures that is counted for a task: the retry pause reaches FT_RETRY_LONGEST_S after fewer
 * failures. */
#define FT_TASK_FAILURES_MAX 16
/* Seconds from the first failure of a task until the task may be placed again. The pause doubles with each failure. */
#define FT_RETRY_FIRST_S 1.0
/* Longest pause in seconds between the failure of a task and the next placement of the task. */
#define FT_RETRY_LONGEST_S 30.0
/* Seconds after the retry pause of a failed task during which the task is not placed on the machine where it
 * failed. */
#define FT_AVOID_MACHINE_S 10.0
/* Seconds that a job waits for room to become free before other tasks are preempted for it. */
#define FT_PREEMPT_AFTER_S 0.5
/* A task without checkpoints may be preempted only until it has run for this share of its estimated run time. */
#define FT_PREEMPT_RAN_SHARE 0.25
/* A task with a deadline ahead is preempted only if the time left until the deadline is more than this multiple of
 * the estimated run time of the task, so that the task can still be in time when it starts again. */
#define FT_PREEMPT_SLACK 1.3
/* Share of cancel_s, since a cancellation, after which an unreachable machine that may hold a cancelled task is
 * terminated regardless of the limits for silence: the cloud needs the rest of the time. */
#define FT_CANCELLED_SCALE_IN_SHARE 0.5
/* Machines that must report for each lost machine before a leader that cannot reach the key-value store concludes
 * that the machine, and not the leader itself, is cut off. */
#define FT_STORE_UNREACHABLE_REPORTING_RATIO 2
/* Seconds since its last answer after which the cloud counts as unreachable: the leader calls it every 4 s with a
 * time limit of 5 s. */
#define FT_CLOUD_ANSWERED_WITHIN_S 12.0
/* Lowest fetch rate of images, in GB per second, that placement assumes: a catalog may give no rate. */
#define FT_FETCH_RATE_MIN 1e-3
/* Share of the fetch time of an image that remains on average on a machine that is already fetching the image. */
#define FT_FETCH_REMAINING_SHARE 0.8
/* Cost, in seconds of waiting, that the choice of a machine assigns to a machine whose CPUs all stay free. The cost
 * is proportional to the share of the CPUs that the placement leaves free. */
#define FT_SCORE_ROOM_LEFT_S 2.0
/* Cost, in seconds of waiting, that the choice of a machine assigns to an ordinary machine. */
#define FT_SCORE_ORDINARY_S 0.5
/* Losses of spot machines that the estimate of the loss rate assumes before any observation. */
#define FT_SPOT_PRIOR_LOSSES 0.5
/* Machine-hours of spot machines that the estimate of the loss rate assumes before any observation. The
 * observations of a thousand machines outweigh them within seconds, those of a dozen within minutes. */
#define FT_SPOT_PRIOR_HOURS 1.0
/* Factor on FT_SCORE_ROOM_LEFT_S and FT_SCORE_ORDINARY_S for tasks below high priority, which can wait for a
 * machine that fits better. */
#define FT_SCORE_PACK_FACTOR 4.0
/* Seconds for which a preempted task is not placed again, so that the job for which it was stopped gets the room. */
#define FT_PREEMPTED_PAUSE_S 2.0
/* A job counts as too late for its deadline if less than this share of its estimated run time is left until the
 * deadline. */
#define FT_TOO_LATE_SHARE 0.3
/* A job that is too late for its deadline is served after the jobs that can still be in time, until it is overdue
 * by this many times the time from its acceptance to its deadline. */
#define FT_TOO_LATE_DEFERRAL 3.0
/* Shortest time in seconds from a placement pass to a pass that an event requests before the next tick. A machine
 * on which a heartbeat frees room is filled without a pass. */
#define FT_PASS_EVERY_S 0.1
/* Jobs that are examined to fill one machine: limits the cost of a heartbeat. */
#define FT_FILL_JOBS_MAX 32
/* Shortest time in seconds between two passes that look for tasks to preempt: such a pass examines all running
 * attempts. */
#define FT_PREEMPT_EVERY_S 0.5
/* Jobs for which one pass may look for tasks to preempt: limits the cost of the pass. */
#define FT_PREEMPT_JOBS_MAX 8
/* Job specs that a pass remembers because their tasks found no room: limits the cost of comparing other specs with
 * them. */
#define FT_NO_ROOM_SPECS_MAX 16
/* Seconds that a job may wait to begin before it is served ahead of all others: half of the four minutes within
 * which even the largest job must begin. */
#define FT_STARVED_AFTER_S 120.0
/* Tasks placed in one pass, so that a pass stays short. */
#define FT_PASS_TASKS_MAX 256

/* ---- fleet ---- */
/* Seconds between two runs of scale-out and scale-in. */
#define FT_AUTOSCALE_EVERY_S 1.0
/* Seconds between two reads of the cloud's list of machines. */
#define FT_LIST_EVERY_S 4.0
/* Seconds between two reads of the cloud's catalog. */
#define FT_CATALOG_EVERY_S 60.0
/* Seconds until a failed read of the catalog is repeated. */
#define FT_CATALOG_RETRY_S 1.0
/* Default time in seconds for which a spot machine is idle before it is terminated. */
#define FT_IDLE_SPOT_S 40.0
/* Default time in seconds for which an ordinary machine is idle before it is terminated. */
#define FT_IDLE_ORDINARY_S 25.0
/* Default idle capacity that is kept, as a share of the capacity in use, for each second that a machine takes to
 * boot: the longer the boot time, the more demand may rise before a new machine is up. */
#define FT_HEADROOM_PER_BOOT_S 0.006
/* Seconds before the next launch request to a pool that refused one: the capacity of a pool does not return at
 * once. */
#define FT_LAUNCH_REFUSED_PAUSE_S 8.0
/* A machine counts as failed if it boots for longer than this many nominal boot times plus FT_BOOT_TIMEOUT_EXTRA_S. */
#define FT_BOOT_TIMEOUT_FACTOR 3.0
/* Seconds that a machine may take to boot beyond FT_BOOT_TIMEOUT_FACTOR times its nominal boot time. */
#define FT_BOOT_TIMEOUT_EXTRA_S 20.0
/* Missing capacity, in machines, above which a machine is launched: a smaller demand is served when room becomes
 * free. */
#define FT_SCALE_OUT_MIN_DEMAND 0.2
/* Nominal boot time in seconds that is assumed for a machine type that is not in the catalog. */
#define FT_BOOT_UNKNOWN_S 60.0
/* CPUs that a task is assumed to need at least when the tasks that fit a machine are counted, so that the count is
 * finite. */
#define FT_TASK_CPUS_MIN 1e-6
/* Amount added to the number of tasks that fit a machine before it is rounded down: absorbs floating-point rounding
 * errors. */
#define FT_TASK_COUNT_ROUNDING 1e-6
/* Machines in a pool that weigh as much as an hourly price of 1 when a pool is chosen: the price decides, and the
 * number of machines decides only among equal prices. */
#define FT_POOL_PRICE_WEIGHT 1000.0
/* Idle machines that are kept in addition to the reserve while any job is open. */
#define FT_STANDBY_MACHINES 1.0
/* Shortest time in seconds that the cloud charges for a machine (protocol): an earlier return saves nothing. */
#define FT_MINIMUM_CHARGE_S 60.0
/* A task that saves no progress is restarted elsewhere at once if it will have run for less than this share of its
 * estimated run time when its spot machine is taken: little progress is lost. */
#define FT_NOTICE_RESTART_SHARE 0.6
/* Seconds after the end of an interruption notice at which a machine that has not reported since then counts as
 * taken by the cloud. */
#define FT_NOTICE_MARGIN_S 0.5
/* Seconds before a failed return call is repeated. */
#define FT_TERMINATE_RETRY_S 1.0
/* Seconds before an unanswered launch request is repeated. */
#define FT_LAUNCH_RETRY_S 1.0
/* Machines in one launch request (the protocol allows 50). */
#define FT_SCALE_OUT_MAX 50
/* Machines named in one return request (the protocol allows 100). */
#define FT_SCALE_IN_MAX 100

/* Capacity, in CPUs or GPUs, that is assumed for a machine whose type is not in the catalog. It is above every
 * team's limit, so that all tasks in FT_TASK_UNKNOWN, which the machine may run, count against the limit of their
 * team. */
#define FT_CAPACITY_UNKNOWN 1e9

/* Lowest number of tasks by which a job's dispatch watermark is raised, once some of its tasks have been sent. The
 * watermark is stored in the job's row: only tasks with an index below it are sent to machines. */
#define FT_WATERMARK_STEP 16

/* ---- limits of the key-value store ---- */
/* Lowest limit on the changes in one transaction that the settings may contain: acquiring the lease and ending a
 * job each need that many. */
#define FT_TXN_OPS_MIN 4
/* Lowest limit on the size of a value, in KiB, that the settings may contain: the row of a job with ordinary texts
 * needs that much. */
#define FT_VALUE_KB_MIN 1
/* Lowest limit on the requests, and on the changes, in one second that the settings may contain. */
#define FT_STORE_RPS_MIN 1
/* Seconds until the leader sends a smaller batch after the key-value store refused one as invalid. */
#define FT_BATCH_INVALID_PAUSE_S 1.0

/* ---- dependencies between jobs ---- */
/* Seconds until the row of a job that other jobs depend on is read again, if the row was open and the watch has not
 * shown the job. */
#define FT_DEPENDENCY_READ_EVERY_S 1.0
/* Reads of the rows of jobs that other jobs depend on, in flight at once: limits their share of the requests to the
 * key-value store. */
#define FT_DEPENDENCY_READS_MAX 8
/* Share of cancel_s for which a controller may report a job as open without reading again whether one of the job's
 * ancestors (its direct and indirect dependencies) was cancelled. */
#define FT_ANCESTORS_FRESH_SHARE 0.5
/* Jobs that one check of a job's ancestors reads at once: limits its share of the requests to the key-value store. */
#define FT_ANCESTORS_READS_MAX 16

/* ---- registry ---- */
/* Bytes that a machine's entry in a registry row takes in addition to its texts, as JSON with spaces. */
#define FT_REGISTRY_ENTRY_BYTES 68
/* Share of the largest value that the entries of a registry row may take: the rest is for the JSON around the
 * entries. */
#define FT_REGISTRY_ROW_SHARE 0.9
/* Registry rows in one transaction: each row is small enough that these rows together stay below FT_BODY_MAX. */
#define FT_REGISTRY_ROWS_AT_ONCE 3
/* Seconds until the removal of a machine from its registry row is written, so that one change covers many removals. */
#define FT_REGISTRY_DELETE_AFTER_S 1.0

/* ---- jobs ---- */
/* Shortest time in seconds between two writes of a job's done-set, the stored record of which of its tasks are
 * done. */
#define FT_CHUNK_EVERY_S 3.0
/* Share of the key-value store's change rate that done-sets may use: the more jobs are running, the less often each
 * done-set is written. */
#define FT_CHUNK_WRITE_SHARE 0.25
/* Number of done-set chunks that one batch may write, and may delete, while the key-value store has no spare
 * changes. */
#define FT_CHUNKS_WITHOUT_SPARE 1
/* Share of the changes of one second that must be unused for the key-value store to have spare changes. */
#define FT_SPARE_WRITES_SHARE 0.6
/* Largest number of tasks of one job (protocol). */
#define FT_JOB_TASKS_MAX 100000
/* Tasks of open jobs above which new submissions are refused for the time being: limits the memory of the leader. */
#define FT_OPEN_TASKS_MAX 1000000
/* Tasks in one chunk of a done-set: the 4096 bits take 684 characters as base64. */
#define FT_DONE_CHUNK_TASKS 4096
/* Longest text in bytes that is accepted in a field. */
#define FT_TEXT_MAX 128

/* ---- messages ---- */
/* Largest amount that is accepted in a field, far above the size of any machine and any run time. */
#define FT_AMOUNT_MAX 1e9
/* Largest number up to which a decimal number tells all whole numbers apart: 2^53. */
#define FT_EXACT_REAL_MAX 9007199254740992.0
/* Largest request body in bytes (protocol). */
#define FT_BODY_MAX 65536
/* Deepest nesting of a value that is kept of a message; no known field is nested as deep. */
#define FT_NESTING_MAX 16
/* Shortest time in seconds between two log lines on malformed messages of the same source: one broken worker must
 * not fill the log. */
#define FT_MALFORMED_LOG_S 10.0

/* ---- requests to the key-value store ---- */
/* Seconds after which a request to the key-value store counts as unanswered. */
#define FT_STORE_TIMEOUT_S 1.5
/* Seconds for which the key-value store holds a watch request open while nothing changes. */
#define FT_WATCH_S 2.0
/* Seconds beyond FT_WATCH_S that a controller waits for the answer to a watch request. */
#define FT_WATCH_SLACK_S 2.0
/* Share of the request limit of the key-value store that the leader may use. */
#define FT_LEADER_REQUEST_SHARE 0.5
/* Share of the request limit of the key-value store that each follower may use. The shares of all controllers
 * together may exceed the limit: a refused request is sent again, at a lower rate. */
#define FT_FOLLOWER_REQUEST_SHARE 0.22
/* Share of the change limit of the key-value store that the leader may use: most changes are the leader's. */
#define FT_LEADER_WRITE_SHARE 0.74
/* Share of the change limit of the key-value store that each follower may use. The shares of all controllers
 * together may exceed the limit: a refused change is sent again, at a lower rate. */
#define FT_FOLLOWER_WRITE_SHARE 0.17
/* Share of its full rate that a budget regains in one second, after a refused request has lowered its rate. A
 * budget limits how much of a service's rate limit this controller uses. */
#define FT_BUDGET_RECOVERY 0.1
/* Lowest share of its full rate to which refusals reduce the rate of a budget. */
#define FT_BUDGET_MIN 0.05
/* Times that the client of the key-value store sends a request again after refusals for its rate, before it reports
 * the refusal to the caller. */
#define FT_STORE_RESENDS 3
/* Milliseconds until a budget that leaves no room for another request is checked again. */
#define FT_BUDGET_WAIT_MS 20
/* Requests waiting for the key-value store above which new user requests are answered with 503. */
#define FT_STORE_QUEUE_MAX 64
/* Shortest time in seconds between two log lines on requests that were refused because their queue was full. */
#define FT_STORE_FULL_LOG_S 10.0
/* Completion callbacks that the main loop calls in one turn for operations that could not be started; the lease's
 * renewal and other work follow. */
#define FT_COMPLETIONS_AT_ONCE 64
/* Rows in one list request (the protocol allows 1,000). */
#define FT_LIST_LIMIT 1000
/* Conditions that a transaction may have for each change that it may have (protocol). */
#define FT_CONDITIONS_PER_CHANGE 4
/* Seconds of failing requests after which contact with the key-value store counts as lost. */
#define FT_CONTACT_LOST_S 2.0
/* Seconds after the first failed request of this controller at which the key-value store must still have served a
 * peer for the fault to count as this controller's own. */
#define FT_PEER_SERVED_MARGIN_S 1.0
/* Seconds between two reads of the operators' settings. */
#define FT_SETTINGS_EVERY_S 5.0

/* ---- requests to the cloud ---- */
/* Seconds after which a request to the cloud counts as unanswered. */
#define FT_CLOUD_TIMEOUT_S 5.0
/* Share of the cloud's request limit that the leader may use. */
#define FT_CLOUD_SHARE 0.8
/* Launch and return calls to the cloud in flight at once. */
#define FT_CLOUD_CALLS_MAX 3
/* Machines in one list request to the cloud (the protocol allows 500). */
#define FT_CLOUD_LIST_LIMIT 500

/* ---- user requests ---- */
/* Longest time in seconds that a submission may have to wait for the changes queued before it: if the wait would be
 * longer, the user gets 503 with Retry-After at once. */
#define FT_SUBMIT_WAIT_MAX_S 2.0
/* Seconds that a user request may wait for the key-value store in total. */
#define FT_USER_DEADLINE_S 3.0
/* Seconds given in the Retry-After header. */
#define FT_RETRY_AFTER_S 1
/* Attempts at a cancellation that conflicts with other changes. */
#define FT_CANCEL_TRIES 3
/* Open jobs whose revision is kept in memory. A user's poll for the state of a job is answered after this revision
 * has been compared with the one in the key-value store. */
#define FT_JOB_CACHE_OPEN_MAX 16384
/* Polls of users that may wait at once for the comparison of revisions in the key-value store. */
#define FT_POLLS_MAX 4096
/* Ended jobs whose final state is kept in memory. */
#define FT_JOB_CACHE_ENDED_MAX 4096

/* ---- administration and metrics ---- */
/* Refs of jobs that are shown in one field of a list for operators. */
#define FT_ADMIN_REFS_MAX 8
/* Seconds that flintctl waits for one controller. */
#define FT_CTL_TIMEOUT_S 3.0
/* Number of buckets of a latency histogram. */
#define FT_HISTOGRAM_BUCKETS 48
/* Lower end, in milliseconds, of the range of a latency histogram. */
#define FT_HISTOGRAM_MIN_MS 0.1
/* Upper end, in milliseconds, of the range of a latency histogram. */
#define FT_HISTOGRAM_MAX_MS 100000.0

/* ---- peers ---- */
/* Seconds between two heartbeats to the peers. */
#define FT_PEER_EVERY_S 1.0
/* Seconds after which a heartbeat to a peer counts as unanswered. */
#define FT_PEER_TIMEOUT_S 1.0
/* Seconds within which a heartbeat to a peer must fail to count as refused: a lost heartbeat takes longer to fail. */
#define FT_PEER_REFUSED_WITHIN_S 0.3
/* Seconds until the next heartbeat after a refused one. */
#define FT_PEER_RETRY_S 0.3
/* Successive refused heartbeats after which a controller suspects that a peer is gone. The suspicion has an effect
 * only if that peer is the leader. */
#define FT_PEER_SUSPECT_REFUSALS 2
/* Seconds for which heartbeats to the peers contain a cancellation, so that the loss of one heartbeat does no harm. */
#define FT_PEER_CANCELLATIONS_S 5.0
/* Cancellations in one heartbeat to the peers: the size of its body is limited. */
#define FT_PEER_CANCELLATIONS_MAX 200
/* Seconds for which a peer's answer shows that connections between the controllers work. */
#define FT_PEER_ANSWER_FRESH_S 1.5
/* Seconds after which the content of a peer's last heartbeat no longer counts. */
#define FT_PEER_FRESH_S 3.5
/* Open jobs in one heartbeat to the peers: its body must stay well below FT_BODY_MAX. */
#define FT_PEER_JOBS_MAX 1000

/* ---- timers and workers ---- */
/* Milliseconds between two ticks of a controller's timers. */
#define FT_TICK_MS 100
/* Seconds between two ticks of the scheduler. */
#define FT_SCHEDULER_TICK_S 0.5
/* Worker heartbeats that are handled before the main loop serves its timers again. */
#define FT_HEARTBEATS_AT_ONCE 32
/* Seconds that a worker heartbeat may wait before the newest heartbeats are answered first: a worker closes its
 * request after 4 s, and a later answer is lost. */
#define FT_HEARTBEAT_LATE_S 2.0
/* Direct commands in flight at once: limits the connections of the client. */
#define FT_DIRECT_MAX 96
/* Seconds after a failover before missing worker heartbeats, or failed requests to the key-value store, count as a
 * sign that the leader is cut off. */
#define FT_CUT_OFF_GRACE_S 12.0
/* Machines from which a leader must expect heartbeats before it may conclude, from the silence of all of them, that
 * it is cut off. */
#define FT_CUT_OFF_MACHINES 3

/* ---- HTTP server ---- */
/* Connections that the server accepts beyond the limit of FT_SOCKET_SHARE only to answer and close them. */
#define FT_CONNECTIONS_SPARE 64
/* Seconds within which a connection must bring a complete request, from its opening or from the request's first line.
 * Users and workers wait for an answer for at most 5 s. */
#define FT_REQUEST_RECEIVE_S 10
/* Seconds for which a connection may owe a request before it can be closed in favour of others. */
#define FT_REQUEST_GRACE_S 1.0
/* Seconds without a request after which an open connection is closed: several intervals of heartbeats and polls. */
#define FT_CONNECTION_IDLE_S 60.0
/* Bytes of bodies that one server keeps for requests that are not complete or not answered, beyond which the
 * connections that have owed a request for longest are closed. */
#define FT_BODY_BYTES_KEPT (64UL * FT_BODY_MAX)
/* Connections that are examined at once for some that can be closed. */
#define FT_CONNECTIONS_EXAMINED 256
/* Milliseconds between two looks for connections that owe a request and have to be closed. */
#define FT_CONNECTIONS_CHECK_MS 250
/* Bytes that the server keeps for a connection, for the headers and a part of the body. */
#define FT_CONNECTION_MEMORY 8192
/* Share of the limit on sockets that open connections to the server may take. */
#define FT_SOCKET_SHARE 0.8
/* Size of a request body in bytes beyond which the server closes the connection without reading the rest. */
#define FT_BODY_ABORT_BYTES (4UL * FT_BODY_MAX)

/* ---- HTTP client ---- */
/* Socket events of the client that are handled in one turn of the main loop. */
#define FT_EVENTS_AT_ONCE 64
/* Connections that the client keeps to one host. */
#define FT_CONNECTIONS_PER_HOST 12
/* Seconds for which the client keeps an unused connection. */
#define FT_CLIENT_IDLE_S 30
/* Largest answer in bytes that the client accepts: a page of the key-value store has up to 512 KiB, and the answer
 * to a watch that fell behind has more. */
#define FT_ANSWER_MAX (32u << 20)
/* First pause in seconds between two attempts at a failing request. Each further pause is twice as long. */
#define FT_BACKOFF_FIRST_S 0.15
/* Longest pause in seconds between two attempts at a failing request. */
#define FT_BACKOFF_LONGEST_S 1.0
/* Doublings of the pause that are counted: the pause reaches FT_BACKOFF_LONGEST_S with fewer doublings. */
#define FT_BACKOFF_DOUBLINGS_MAX 8
/* Lowest random factor on a pause. The factor differs, so that controllers that failed together do not retry
 * together. */
#define FT_BACKOFF_JITTER_LEAST 0.5
/* Highest random factor on a pause. */
#define FT_BACKOFF_JITTER_MOST 1.5
