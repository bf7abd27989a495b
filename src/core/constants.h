/* All constants of flintrack, each with its unit and the reason for its value.
 * Values of a deployment (limits, leases, shares) come from the settings file;
 * what stands here are defaults and margins that hold for every deployment. */
#pragma once

/* Microseconds in a second; all times inside the program are microseconds. */
#define FT_SECOND 1000000LL
/* Microseconds in a millisecond, the unit of the wall times in rows and of durations in messages. */
#define FT_MILLISECOND 1000LL
/* Milliseconds in a second; timers of the main loop count in them. */
#define FT_MS_PER_SECOND 1000
/* Seconds in an hour; the cloud's prices and rates are by the hour. */
#define FT_HOUR_S 3600.0

/* ---- lease ---- */
/* Seconds a leader may act after a renewal was sent (design default). */
#define FT_LEASE_S 9.0
/* Seconds between two reads of the lease rows by a follower (design default). */
#define FT_SWEEP_S 3.0
/* Share by which a sweep is jittered, so that followers do not read at the same time. */
#define FT_SWEEP_JITTER 0.25
/* Seconds until a sweep that failed is repeated. */
#define FT_SWEEP_RETRY_S 0.7
/* Seconds that a renewal of a suspected leader may be overdue before its lease is claimed; and seconds for which the
 * fence must be unchanged for a confirmed suspicion to be acted on at once: where peers refuse each other, leaders
 * would replace each other twice a second. */
#define FT_SUSPECT_MARGIN_S 1.0
#define FT_SUSPECT_FENCE_STABLE_S 15.0
/* Renewals go out every lease time divided by this. */
#define FT_RENEW_FRACTION 3.0
/* Share by which two steady clocks may differ (protocol: 0.05 % each way, so
 * twice that between two machines, rounded up). */
#define FT_CLOCK_DRIFT 0.0011
/* Seconds taken off every lease, for timers that fire late. */
#define FT_LEASE_MARGIN_S 0.3
/* Seconds for which a leader starts work after it last knew all cancellations: a watch that is lost takes up four. */
#define FT_CANCELLATIONS_FRESH_S 6.0
/* Seconds taken off the answer grace period, for timers that fire late. */
#define FT_ANSWER_GRACE_MARGIN_S 2.0

/* Seconds without any heartbeat, beyond the longest ordinary gap, after which a leader considers itself cut off from
 * the workers and yields leadership. */
#define FT_CUT_OFF_MARGIN_S 1.5
/* Seconds for which heartbeats must have waited too long before a leader considers itself too slow; seconds it must
 * have led by then, since a failover is busy and a successor may be no faster; and seconds for which it advertises to
 * its peers that it has yielded. */
#define FT_OVERRUN_S 4.0
#define FT_OVERRUN_LEADERSHIP_MIN_S 45.0
#define FT_YIELD_ADVERTISED_S 3.0
/* Seconds for which a controller that released the lease does not claim it, so that another one does. */
#define FT_ABSTAIN_S 20.0

/* Range in seconds of the pause before a renewal that failed is sent again: several tries fit into a lease time, and
 * controllers do not retry at the same time. */
#define FT_RENEW_RETRY_MIN_S 0.2
#define FT_RENEW_RETRY_MAX_S 0.5

/* ---- operators' settings ---- */
/* name, field, unit, least, most, default, what it does. They live in the state
 * service and are changed through the administration API only. The log level
 * counts through FT_LOG_CHOICES. */
#define FT_OPERATOR_SETTINGS(X)                                                                                        \
  X ("lease_time", lease_s, "s", 2.0, 60.0, FT_LEASE_S, "how long a leader may act after a renewal was sent")          \
  X ("sweep_period", sweep_s, "s", 0.5, 30.0, FT_SWEEP_S, "how often a follower looks at the lease")                   \
  X ("sweep_jitter", sweep_jitter, "share", 0.0, 0.5, FT_SWEEP_JITTER, "by how much each sweep is moved at random")    \
  X ("renewal_fraction", renew_fraction, "count", 2.0, 10.0, FT_RENEW_FRACTION, "renewals sent in one lease time")     \
  X ("sample_size", sample_size, "machines", 1.0, 500.0, FT_SAMPLE_SIZE, "machines with room compared in placing")     \
  X ("idle_time_spot", idle_spot_s, "s", 0.0, 3600.0, FT_IDLE_SPOT_S, "idle time before a spot machine is returned")   \
  X ("idle_time_ordinary", idle_ordinary_s, "s", 0.0, 3600.0, FT_IDLE_ORDINARY_S, "the same for an ordinary machine")  \
  X ("idle_reserve", headroom_per_boot_s, "share/s", 0.0, 0.1, FT_HEADROOM_PER_BOOT_S,                                 \
     "idle capacity kept, as a share of what is in use, for each second of boot time")                                 \
  X ("spot_share", spot_share, "share", 0.0, 1.0, 1.0, "most of the machines that may be spot machines")               \
  X ("log_level", log_level, "choice", 0.0, 3.0, 0.0, "what the controllers log")
#define FT_LOG_CHOICES                                                                                                 \
  {                                                                                                                    \
    "environment", "error", "info", "debug"                                                                            \
  }
/* Least time in seconds between a renewal that got no answer and the end of the
 * lease: one more try must fit in. */
#define FT_RENEW_SLACK_S 0.5

/* ---- workers ---- */
/* Seconds a worker waits for an answer to its heartbeat (protocol). */
#define FT_WORKER_TIMEOUT_S 4.0
/* Seconds added to a worker lease before its tasks are counted as over. */
#define FT_WORKER_LEASE_MARGIN_S 1.0
/* Longest ordinary gap between two heartbeats, in heartbeat intervals (protocol: an
 * interval is moved by up to a quarter). */
#define FT_HEARTBEAT_GAP_INTERVALS 1.25
/* Seconds by which a heartbeat may be overdue on a machine that still gets work. */
#define FT_USABLE_MARGIN_S 3.0
/* Seconds a direct command may take before it counts as unanswered. */
#define FT_COMMAND_TIMEOUT_S 2.0
/* Seconds without a heartbeat, beyond the longest ordinary gap, after which a
 * machine counts as silent. */
#define FT_SILENCE_MARGIN_S 2.0
/* Seconds between two probes of a machine that has not reported since the failover. */
#define FT_PROBE_EVERY_S 1.0
/* Seconds after a failover, or after an answer, until a machine that is not reconciled is probed: most report by
 * themselves within that time, at a third of the cost. */
#define FT_PROBE_FIRST_S 1.5
/* Seconds beyond the longest ordinary gap after which a heartbeat is overdue. */
#define FT_OVERDUE_MARGIN_S 1.0
/* Longest pause between probes of a machine that does not answer, in doublings of the
 * first; probes in flight at once: those of a zone that is cut off must not block the others. */
#define FT_PROBE_DOUBLINGS 3
#define FT_PROBES_MAX 48
/* Heartbeats in a row that show nothing of our answers, after which a machine counts as
 * not receiving: a lost packet may explain one. */
#define FT_UNACKNOWLEDGED_MAX 3
/* Seconds for which a machine that does not receive is probed before it is terminated: the fault may be short. */
#define FT_NOT_RECEIVING_SCALE_IN_S 10.0
/* Worker leases for which a copy of a direct start may arrive late, so that its worker must remember an attempt without
 * a result: a worker that remembers it ignores the copy. */
#define FT_LATE_COPY_LEASES 2.0
/* Seconds between two ticks from which on this controller was late itself: heartbeats missing in that time then count
 * against no machine. */
#define FT_LATE_TICK_S 1.5
/* Probes without answer, once the heartbeat is overdue, after which a machine counts
 * as silent; and the same for a machine that has not reported since the failover. */
#define FT_SILENT_PROBES 1
#define FT_SILENT_PROBES_FAILOVER 2
/* Share of the machines that may be terminated for silence within the window. */
#define FT_SILENT_SCALE_IN_SHARE 0.2
/* Worker leases for which a machine must have sent no heartbeat to be terminated for silence while more machines are
 * lost than report: then the leader itself may be cut off. */
#define FT_SILENT_MAJORITY_LEASES 2
/* Machines that may always be terminated for silence within the window. */
#define FT_SILENT_SCALE_IN_MIN 2
/* Window in seconds in which the terminations for silence are bounded. */
#define FT_SILENT_SCALE_IN_WINDOW_S 20.0
/* Seconds after which a cancelled start without an answer keeps its machine from
 * new work, and share of cancel_s after which the machine is terminated as it is. */
#define FT_START_IN_DOUBT_QUARANTINE_S 5.0
#define FT_START_IN_DOUBT_SCALE_IN_SHARE 0.5
/* Machines that a zone must have, none of which reports, for it to count as unreachable: of fewer, each may have failed
 * by itself. */
#define FT_ZONE_MEMBERS_MIN 3
/* Seconds between two launches in an unreachable zone, which show whether it is back. */
#define FT_ZONE_PROBE_EVERY_S 20.0
/* Seconds since the store last answered after which a leader returns no machine for its silence: it may be cut off
 * itself. A watch proves, when it ends, what was known when it was sent: while no row changes, that is two watches old
 * before the next one ends. */
#define FT_SILENT_SCALE_IN_STORE_SEEN_S (2 * FT_WATCH_S + 0.5)
/* Seconds by which an answer of the store must be newer than the last report from a zone for the zone's machines to be
 * returned: what cut off the zone has not cut off this leader as well. */
#define FT_ZONE_STORE_SEEN_S 1.0
/* Failures in a row that count against a machine, to quarantine it: one may be chance. */
#define FT_QUARANTINE_FAULTS 2
/* Machines on which a job must have failed, and completed or progressed on none, to count as mistaken. */
#define FT_FAULTY_JOB_MACHINES 3
/* Seconds by which a task must have outlived those of its job that failed to count as doing well: starts are reported
 * some seconds late. */
#define FT_FAULT_MARGIN_S 2.0
/* Attempts of a job examined for one that does well: bounds the cost of a failure. */
#define FT_FAULT_ATTEMPTS_MAX 256
/* Machines that may be quarantined at once: at least, and as a share of all. */
#define FT_QUARANTINE_MIN 2
#define FT_QUARANTINE_SHARE 0.25
/* Bits of an attempt number below the token, so that attempts rise with it. */
#define FT_ATTEMPT_BITS 24

/* ---- placement ---- */
/* Machines with room that are compared before the best is taken: bounds the cost of a placement. */
#define FT_SAMPLE_SIZE 64
/* Failures of a task that are counted; the pause is at its longest long before. */
#define FT_TASK_FAILURES_MAX 16
/* First and longest pause in seconds of a task that failed. */
#define FT_RETRY_FIRST_S 1.0
#define FT_RETRY_LONGEST_S 30.0
/* Seconds after its pause during which a failed task keeps off that machine. */
#define FT_AVOID_MACHINE_S 10.0
/* Seconds a job waits for room to become free by itself before other work is stopped for it. */
#define FT_PREEMPT_AFTER_S 0.5
/* Share of its estimate that a task may have run, and estimates that must be
 * left until its deadline, to be stopped for another. */
#define FT_PREEMPT_RAN_SHARE 0.25
#define FT_PREEMPT_SLACK 1.3
/* Share of cancel_s after which a machine that cannot be reached, and may hold a cancelled task, is terminated
 * regardless of the bound on terminations: the rest of the time is for the cloud. */
#define FT_CANCELLED_SCALE_IN_SHARE 0.5
/* Machines that must report for each one that does not, for a leader without the store to conclude that the machine,
 * not itself, is cut off. */
#define FT_STORE_UNREACHABLE_REPORTING_RATIO 2
/* Seconds since the cloud last answered after which it counts as unreachable: it is called every four, with a time
 * limit of five. */
#define FT_CLOUD_SEEN_S 12.0
/* Least rate in GB per second at which an image is taken to be fetched: a catalog may name none. */
#define FT_FETCH_RATE_MIN 1e-3
/* Share of an image's fetch that remains on average once it has begun. */
#define FT_FETCH_REMAINING_SHARE 0.8
/* Weights of a machine left entirely empty, and of an ordinary machine, in the choice of a machine, in seconds of
 * waiting. */
#define FT_SCORE_ROOM_LEFT_S 2.0
#define FT_SCORE_ORDINARY_S 0.5
/* Prior of a spot machine's loss rate, until there are observations: that many losses in that many machine-hours. A
 * thousand machines outweigh it within seconds, a dozen within minutes. */
#define FT_SPOT_PRIOR_LOSSES 0.5
#define FT_SPOT_PRIOR_HOURS 1.0
/* Factor on both weights for work that is not urgent, which can wait for a better fit. */
#define FT_SCORE_PACK_FACTOR 4.0
/* Seconds for which a preempted task is not placed, so that the job it was stopped for takes its room. */
#define FT_PREEMPTED_PAUSE_S 2.0
/* A job is too late when less than this share of its estimate is left until its
 * deadline; other jobs are served before it until it is overdue by this many times the time it had. */
#define FT_TOO_LATE_SHARE 0.3
#define FT_TOO_LATE_DEFERRAL 3.0
/* Least seconds between two placement passes: a heartbeat that frees room on a machine
 * has it filled without one. */
#define FT_PASS_EVERY_S 0.1
/* Jobs examined to fill one machine: bounds the cost of a heartbeat. */
#define FT_FILL_JOBS_MAX 32
/* Least seconds between two passes that look for work to preempt: they examine every running attempt. */
#define FT_PREEMPT_EVERY_S 0.5
/* Jobs for which one pass may look for work to preempt: bounds its cost. */
#define FT_PREEMPT_JOBS_MAX 8
/* Kinds of tasks that found no room, remembered within a pass: bounds the cost of comparing them. */
#define FT_NO_ROOM_SPECS_MAX 16
/* Seconds a job may wait to begin before it is served ahead of all others: half of the four minutes within which even
 * the largest must begin. */
#define FT_STARVED_AFTER_S 120.0
/* Most tasks placed in one pass, so that a pass stays short. */
#define FT_PASS_TASKS_MAX 256

/* ---- fleet ---- */
/* Seconds between two runs of the scale-out and the scale-in. */
#define FT_AUTOSCALE_EVERY_S 1.0
/* Seconds between two reads of the machine list and of the catalog. */
#define FT_LIST_EVERY_S 4.0
#define FT_CATALOG_EVERY_S 60.0
/* Seconds until a read of the catalog that failed is repeated. */
#define FT_CATALOG_RETRY_S 1.0
/* Seconds a spot and an ordinary machine stand idle before they are terminated. */
#define FT_IDLE_SPOT_S 40.0
#define FT_IDLE_ORDINARY_S 25.0
/* Idle capacity kept, as a share of what is in use, for each second that a
 * machine takes to boot: the longer that is, the more demand may rise before it is up. */
#define FT_HEADROOM_PER_BOOT_S 0.006
/* Seconds before the next launch request to a pool that refused: its capacity does not return at once. */
#define FT_LAUNCH_REFUSED_PAUSE_S 8.0
/* A machine that boots longer than this many nominal boot times, plus the
 * seconds below, counts as one that will never come up. */
#define FT_BOOT_TIMEOUT_FACTOR 3.0
#define FT_BOOT_TIMEOUT_EXTRA_S 20.0
/* Share of a machine that must be needed before one is launched: less is served when room becomes free. */
#define FT_SCALE_OUT_MIN_DEMAND 0.2
/* Nominal boot time in seconds of a type that is not in the catalog. */
#define FT_BOOT_UNKNOWN_S 60.0
/* Least CPUs of a task in the count of tasks per machine, so that it stays finite; and what absorbs the
 * rounding of that count. */
#define FT_TASK_CPUS_MIN 1e-6
#define FT_TASK_COUNT_ROUNDING 1e-6
/* Machines in a pool that weigh as much as a price of one an hour: the price
 * decides, the number of machines only among equal prices. */
#define FT_POOL_PRICE_WEIGHT 1000.0
/* Machines that stand by idle while there is any open job, beside the reserve. */
#define FT_STANDBY_MACHINES 1.0
/* Least seconds charged for a machine (protocol): no earlier return saves. */
#define FT_MINIMUM_CHARGE_S 60.0
/* A task that will have run less than this share of its estimate when its spot
 * machine is taken is restarted elsewhere at once: little progress is lost. */
#define FT_NOTICE_RESTART_SHARE 0.6
/* Seconds after the end of a spot notice at which a machine that has not reported
 * since counts as taken by the cloud. */
#define FT_NOTICE_MARGIN_S 0.5
/* Seconds before a return that failed is tried again. */
#define FT_TERMINATE_RETRY_S 1.0
/* Seconds before a launch request that got no answer is repeated. */
#define FT_LAUNCH_RETRY_S 1.0
/* Machines in one launch request (protocol: at most 50). */
#define FT_SCALE_OUT_MAX 50
/* Machines named in one return request (protocol: at most 100). */
#define FT_SCALE_IN_MAX 100

/* What a machine of a type not in the catalog may hold, in CPUs or GPUs: above any team's limit, so that unknown tasks
 * it may run count in full. */
#define FT_CAPACITY_UNKNOWN 1e9

/* Tasks by which a job's dispatch watermark is raised at least, once some have been sent. */
#define FT_WATERMARK_STEP 16

/* ---- limits of the state service ---- */
/* Least limits that the settings may name: changes that an acquisition and the end of a job
 * need in one transaction, KiB for a job's row with ordinary texts, and requests a second. */
#define FT_TXN_OPS_MIN 4
#define FT_VALUE_KB_MIN 1
#define FT_STORE_RPS_MIN 1
/* Seconds until a batch that the state service refused as invalid is tried again, smaller. */
#define FT_BATCH_INVALID_PAUSE_S 1.0

/* ---- jobs that wait for others ---- */
/* Seconds until the row of a job that others wait for is read again, if it was open and the watch has not shown the
 * job. */
#define FT_DEPENDENCY_READ_EVERY_S 1.0
/* Such reads in flight at once: bounds their share of the store's requests. */
#define FT_DEPENDENCY_READS_MAX 8
/* Share of cancel_s for which a controller reports that a job is open without reading again whether one of its
 * ancestors was cancelled. */
#define FT_ANCESTORS_FRESH_SHARE 0.5
/* Jobs that one request reads at once: bounds its share of the store's requests. */
#define FT_ANCESTORS_READS_MAX 16

/* ---- registry ---- */
/* Bytes of a machine's entry in a registry row beside its texts, as JSON with spaces. */
#define FT_REGISTRY_ENTRY_BYTES 68
/* Share of the largest value that a row may take: the rest is for what encloses the entries. */
#define FT_REGISTRY_ROW_SHARE 0.9
/* Rows in one transaction: together they stay below the largest body. */
#define FT_REGISTRY_ROWS_AT_ONCE 3
/* Seconds until a removal is written: many are then combined in one change. */
#define FT_REGISTRY_DELETE_AFTER_S 1.0

/* ---- jobs ---- */
/* Least seconds between two writes of a job's done-set, and share of the state service's
 * changes that done-sets may take: with many running jobs each is written less often. */
#define FT_CHUNK_EVERY_S 3.0
#define FT_CHUNK_WRITE_SHARE 0.25
/* Chunks of done-sets written, and deleted, in a batch while less than this share of a second's
 * changes is unused. */
#define FT_CHUNKS_WITHOUT_SPARE 1
#define FT_SPARE_WRITES_SHARE 0.6
/* Tasks of one job (protocol). */
#define FT_JOB_TASKS_MAX 100000
/* Unfinished tasks held in memory before submissions are refused for the time being: bounds the memory. */
#define FT_OPEN_TASKS_MAX 1000000
/* Tasks in one chunk of a done-set: 4096 bits are 684 characters. */
#define FT_DONE_CHUNK_TASKS 4096
/* Longest text accepted in any field, in bytes. */
#define FT_TEXT_MAX 128

/* ---- messages ---- */
/* Largest amount accepted, far above any machine or run time. */
#define FT_AMOUNT_MAX 1e9
/* Largest request body in bytes (protocol). */
#define FT_BODY_MAX 65536
/* Deepest nesting accepted in a message. */
#define FT_NESTING_MAX 16
/* Seconds between two log lines on malformed messages of the same source: one broken worker
 * must not fill the log. */
#define FT_MALFORMED_LOG_S 10.0

/* ---- requests to the state service ---- */
/* Seconds a state request may take before it counts as unanswered. */
#define FT_STORE_TIMEOUT_S 1.5
/* Seconds a watch waits on the server, and we on it beyond that. */
#define FT_WATCH_S 2.0
#define FT_WATCH_SLACK_S 2.0
/* Share of the state service's requests that a leader and each follower allow themselves, and
 * the same for its changes, most of which are the leader's. All of them at once are more than
 * the limit; what is refused is sent again, more slowly. */
#define FT_LEADER_REQUEST_SHARE 0.5
#define FT_FOLLOWER_REQUEST_SHARE 0.22
#define FT_LEADER_WRITE_SHARE 0.74
#define FT_FOLLOWER_WRITE_SHARE 0.17
/* Share of a budget that is restored in a second after a refusal for the rate, and the least
 * that is left of it. */
#define FT_BUDGET_RECOVERY 0.1
#define FT_BUDGET_MIN 0.05
/* Times that a request is sent again by itself after such refusals. */
#define FT_STORE_RESENDS 3
/* Milliseconds until a used-up budget is checked again. */
#define FT_BUDGET_WAIT_MS 20
/* Requests waiting for the state service before new user requests get 503. */
#define FT_STORE_QUEUE_MAX 64
/* Rows in one list request (protocol: at most 1,000). */
#define FT_LIST_LIMIT 1000
/* Conditions that a transaction may have for each change it may have (protocol). */
#define FT_CONDITIONS_PER_CHANGE 4
/* Seconds without a state answer after which contact counts as lost. */
#define FT_CONTACT_LOST_S 2.0
/* Seconds by which a peer must have been served later than this controller was refused, for the fault to be here. */
#define FT_PEER_SERVED_MARGIN_S 1.0
/* Seconds between two reads of the operators' settings. */
#define FT_SETTINGS_EVERY_S 5.0

/* ---- requests to the cloud ---- */
/* Seconds a cloud request may take. */
#define FT_CLOUD_TIMEOUT_S 5.0
/* Share of the cloud limit the leader allows itself. */
#define FT_CLOUD_SHARE 0.8
/* Cloud calls in flight at once. */
#define FT_CLOUD_CALLS_MAX 3
/* Machines in one list request (protocol: at most 500). */
#define FT_CLOUD_LIST_LIMIT 500

/* ---- users' requests ---- */
/* Seconds for which a submission may have to wait for the changes before it; beyond that the user gets 503 with
 * Retry-After at once. */
#define FT_SUBMIT_WAIT_MAX_S 2.0
/* Seconds a user's request may wait for the state service in all. */
#define FT_USER_DEADLINE_S 3.0
/* Seconds named in Retry-After. */
#define FT_RETRY_AFTER_S 1
/* Tries of a cancellation that races with other changes. */
#define FT_CANCEL_TRIES 3
/* Open jobs whose revision is kept for polls; polls that wait at once. */
#define FT_JOB_CACHE_OPEN_MAX 16384
#define FT_POLLS_MAX 4096
/* Final states kept in memory. */
#define FT_JOB_CACHE_ENDED_MAX 4096

/* ---- administration and metrics ---- */
/* Refs of jobs shown in one field of a list for operators. */
#define FT_ADMIN_REFS_MAX 8
/* Seconds flintctl waits for one controller. */
#define FT_CTL_TIMEOUT_S 3.0
/* Latency histograms: bucket count, and their range in milliseconds. */
#define FT_HISTOGRAM_BUCKETS 48
#define FT_HISTOGRAM_MIN_MS 0.1
#define FT_HISTOGRAM_MAX_MS 100000.0

/* ---- peers ---- */
/* Seconds between peer heartbeats, and their time limit. */
#define FT_PEER_EVERY_S 1.0
#define FT_PEER_TIMEOUT_S 1.0
/* Seconds within which a heartbeat that fails was refused, not lost; seconds until
 * the next one then; and refusals in a row after which a leader is suspected. */
#define FT_PEER_REFUSED_WITHIN_S 0.3
#define FT_PEER_RETRY_S 0.3
#define FT_PEER_SUSPECT_REFUSALS 2
/* Seconds for which heartbeats name a cancellation, so that one that is lost does not
 * matter, and cancellations in one heartbeat, whose body is bounded. */
#define FT_PEER_CANCELLATIONS_S 5.0
#define FT_PEER_CANCELLATIONS_MAX 200
/* Seconds for which a peer's answer shows that connections between peers work. */
#define FT_PEER_ANSWER_FRESH_S 1.5
/* Seconds after which what a peer said no longer counts. */
#define FT_PEER_FRESH_S 3.5
/* Open jobs in one heartbeat: its body stays well within the largest. */
#define FT_PEER_JOBS_MAX 1000

/* ---- timers and workers ---- */
/* Milliseconds between two runs of a controller's timers. */
#define FT_TICK_MS 100
/* Seconds between two ticks of the scheduler. */
#define FT_SCHEDULER_TICK_S 0.5
/* Heartbeats handled between two checks of the timers, and seconds of waiting from which on the newest are answered
 * first: a worker closes its request after four, and an answer after that is lost. */
#define FT_HEARTBEATS_AT_ONCE 32
#define FT_HEARTBEAT_LATE_S 2.0
/* Direct commands in flight at once: bounds the client's connections. */
#define FT_DIRECT_MAX 96
/* Seconds after a failover before missing heartbeats count as being cut off. */
#define FT_CUT_OFF_GRACE_S 12.0
/* Machines that must have reported before a leader may conclude that it is cut off. */
#define FT_CUT_OFF_MACHINES 3

/* ---- HTTP server ---- */
/* Connections that are still accepted beyond the share below, only to be answered and closed. */
#define FT_CONNECTIONS_SPARE 64
/* Bytes the server keeps for a connection: headers and a piece of the body. */
#define FT_CONNECTION_MEMORY 8192
/* Share of the socket limit open connections may take. */
#define FT_SOCKET_SHARE 0.8
/* Bytes of a body beyond which the connection is closed unread. */
#define FT_BODY_ABORT_BYTES (4UL * FT_BODY_MAX)

/* ---- HTTP client ---- */
/* Events of the client's sockets handled in one turn of the main loop. */
#define FT_EVENTS_AT_ONCE 64
/* Connections kept to one host by the client. */
#define FT_CONNECTIONS_PER_HOST 12
/* Seconds an unused client connection is kept. */
#define FT_CLIENT_IDLE_S 30
/* Largest answer accepted, in bytes: a page of the store has 512 KiB, a watch that
 * fell behind more. */
#define FT_ANSWER_MAX (32u << 20)
/* First and longest pause in seconds between attempts at a service that fails; each is twice the one before. */
#define FT_BACKOFF_FIRST_S 0.15
#define FT_BACKOFF_LONGEST_S 1.0
/* Doublings of the pause that are counted: the longest pause is reached before. */
#define FT_BACKOFF_DOUBLINGS_MAX 8
/* Shares between which a pause is spread, so that controllers that failed together do not repeat together. */
#define FT_BACKOFF_JITTER_LEAST 0.5
#define FT_BACKOFF_JITTER_MOST 1.5
