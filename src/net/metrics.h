/* Counters and latency histograms of one controller since its start. The administration API serves them to
 * operators. Every module of src/net may update them. */
#pragma once
#include <glib.h>
#include <jansson.h>

/**
 * FtMetrics:
 *
 * The counters and latency histograms. There is one per process; the node owns it.
 */
typedef struct _FtMetrics FtMetrics;

/**
 * FtCounter:
 * @FT_COUNT_ACCEPTED: submissions answered with 200 or 201
 * @FT_COUNT_REFUSED: users' requests answered with 400 or 422
 * @FT_COUNT_UNAVAILABLE: users' requests answered with 503
 * @FT_COUNT_POLLS: users' requests counted under none of the three counters above: polls and cancellations
 *   that needed the key-value store
 * @FT_COUNT_CANCELLED: jobs cancelled by their users
 * @FT_COUNT_CANCELLED_BY_DEPENDENCY: jobs cancelled on a poll or submission because an ancestor is cancelled
 * @FT_COUNT_HEARTBEATS: worker heartbeats that this controller has handled as the leader
 * @FT_COUNT_HEARTBEATS_OLDER: worker heartbeats that were answered but not applied, since a newer status of
 *   the same incarnation has been
 * @FT_COUNT_HEARTBEATS_FORMER: worker heartbeats refused, since a later incarnation of the worker has reported
 * @FT_COUNT_HEARTBEATS_EXPIRED: worker heartbeats refused, since their incarnation is over
 * @FT_COUNT_HEARTBEATS_FORMER_TOKEN: worker heartbeats refused, since the worker has shown a higher token before
 * @FT_COUNT_HEARTBEATS_GONE: worker heartbeats refused, since their machine is gone
 * @FT_COUNT_REDIRECTS: worker heartbeats answered with a redirect to the leader
 * @FT_COUNT_TAKEOVERS: terms as leader that this controller has begun
 * @FT_COUNT_STEP_DOWNS: terms that ended because another controller leads
 * @FT_COUNT_DIRECT_UNANSWERED: direct commands to workers that got no answer
 * @FT_COUNT_BATCHES: write batches of the leader that were committed
 * @FT_COUNT_BATCHES_UNCERTAIN: write batches that were neither confirmed nor refused, because no usable answer
 *   came
 * @FT_COUNT_BATCHES_INVALID: write batches that the key-value store refused as invalid, not because a
 *   condition failed
 * @FT_COUNT_MALFORMED_WORKERS: malformed messages of workers; see ft_malformed_log_add()
 * @FT_COUNT_MALFORMED_CLOUD: malformed messages of the cloud
 * @FT_COUNT_MALFORMED_STORE: malformed messages of the key-value store
 * @FT_COUNT_MALFORMED_PEERS: malformed messages of peers
 * @FT_COUNTERS: the number of counters
 *
 * The counters. ft_metrics_name() returns the names that operators see. Users' requests that are answered from
 * the job cache, or that have an invalid ref, path or method, are not counted.
 */
typedef enum {
  FT_COUNT_ACCEPTED,
  FT_COUNT_REFUSED,
  FT_COUNT_UNAVAILABLE,
  FT_COUNT_POLLS,
  FT_COUNT_CANCELLED,
  FT_COUNT_CANCELLED_BY_DEPENDENCY,
  FT_COUNT_HEARTBEATS,
  FT_COUNT_HEARTBEATS_OLDER,
  FT_COUNT_HEARTBEATS_FORMER,
  FT_COUNT_HEARTBEATS_EXPIRED,
  FT_COUNT_HEARTBEATS_FORMER_TOKEN,
  FT_COUNT_HEARTBEATS_GONE,
  FT_COUNT_REDIRECTS,
  FT_COUNT_TAKEOVERS,
  FT_COUNT_STEP_DOWNS,
  FT_COUNT_DIRECT_UNANSWERED,
  FT_COUNT_BATCHES,
  FT_COUNT_BATCHES_UNCERTAIN,
  FT_COUNT_BATCHES_INVALID,
  FT_COUNT_MALFORMED_WORKERS,
  FT_COUNT_MALFORMED_CLOUD,
  FT_COUNT_MALFORMED_STORE,
  FT_COUNT_MALFORMED_PEERS,
  FT_COUNTERS,
} FtCounter;

/**
 * FtLatency:
 * @FT_LATENCY_SUBMIT: from the start of a submission's deadline to its answer, if it is accepted
 * @FT_LATENCY_BATCH: from sending a write batch to the confirmation of its commit
 * @FT_LATENCY_DIRECT: from sending a direct command to the worker's answer
 * @FT_LATENCY_RECOVERY: from the beginning of a term until the leader can place tasks
 * @FT_LATENCIES: the number of latency histograms
 *
 * The latencies that are recorded.
 */
typedef enum { FT_LATENCY_SUBMIT, FT_LATENCY_BATCH, FT_LATENCY_DIRECT, FT_LATENCY_RECOVERY, FT_LATENCIES } FtLatency;

/**
 * ft_metrics_new:
 *
 * Returns: (transfer full): metrics with all counters at zero and empty histograms
 */
FtMetrics *ft_metrics_new (void);

/**
 * ft_metrics_free:
 * @metrics: (nullable) (transfer full): the metrics
 */
void ft_metrics_free (FtMetrics *metrics);

/**
 * ft_metrics_count:
 * @counter: the counter to increment by one
 */
void ft_metrics_count (FtMetrics *metrics, FtCounter counter);

/**
 * ft_metrics_value:
 *
 * Returns: the value of @counter
 */
guint64 ft_metrics_value (const FtMetrics *metrics, FtCounter counter);

/**
 * ft_metrics_name:
 *
 * Returns: (transfer none): the name of @counter in the administration API
 */
const char *ft_metrics_name (FtCounter counter);

/**
 * ft_metrics_record_latency:
 * @latency: the histogram to which the duration is added
 * @us: the duration in microseconds
 */
void ft_metrics_record_latency (FtMetrics *metrics, FtLatency latency, gint64 us);

/**
 * ft_metrics_body:
 *
 * Returns: (transfer full): the body with all counters and the quantiles of all latencies, as the
 *   administration API serves it
 */
json_t *ft_metrics_body (const FtMetrics *metrics);
