/* Counters and latency histograms of one controller since its start, for its operators: the
 * admin API serves them, and every module of src/net counts in them. */
#pragma once
#include <glib.h>
#include <jansson.h>

/**
 * FtMetrics:
 *
 * One per process, owned by the node.
 */
typedef struct _FtMetrics FtMetrics;

/**
 * FtCounter:
 *
 * What is counted; ft_metrics_name() has the names that operators see.
 */
typedef enum {
  FT_COUNT_ACCEPTED,
  FT_COUNT_REFUSED,     /* 400 and 422 */
  FT_COUNT_UNAVAILABLE, /* 503 to users */
  FT_COUNT_POLLS,
  FT_COUNT_CANCELLED,
  FT_COUNT_CANCELLED_BY_DEPENDENCY, /* found on a poll: a job that it depends on is cancelled */
  FT_COUNT_HEARTBEATS,
  FT_COUNT_REDIRECTS,
  FT_COUNT_TAKEOVERS,
  FT_COUNT_STEP_DOWNS,
  FT_COUNT_DIRECT_UNANSWERED,
  FT_COUNT_BATCHES,
  FT_COUNT_BATCHES_UNCERTAIN,
  FT_COUNT_BATCHES_INVALID,   /* refused by the state service as such, not for a condition */
  FT_COUNT_MALFORMED_WORKERS, /* messages that were refused; see ft_malformed_log_add() */
  FT_COUNT_MALFORMED_CLOUD,
  FT_COUNT_MALFORMED_STORE,
  FT_COUNT_MALFORMED_PEERS,
  FT_COUNTERS,
} FtCounter;

/**
 * FtLatency:
 * @FT_LATENCY_SUBMIT: from a submission to its answer
 * @FT_LATENCY_BATCH: from sending a write batch to its commit
 * @FT_LATENCY_DIRECT: from sending a direct command to the worker's answer
 * @FT_LATENCY_RECOVERY: from the beginning of a term until the leader can place tasks
 *
 * What is timed.
 */
typedef enum { FT_LATENCY_SUBMIT, FT_LATENCY_BATCH, FT_LATENCY_DIRECT, FT_LATENCY_RECOVERY, FT_LATENCIES } FtLatency;

/**
 * ft_metrics_new:
 *
 * Returns: (transfer full): counters at zero and empty histograms
 */
FtMetrics *ft_metrics_new (void);
/**
 * ft_metrics_free:
 * @metrics: (nullable) (transfer full): the metrics
 */
void ft_metrics_free (FtMetrics *metrics);

/**
 * ft_metrics_count:
 * @counter: what has happened once more
 */
void ft_metrics_count (FtMetrics *metrics, FtCounter counter);

/**
 * ft_metrics_value:
 *
 * Returns: how often @counter was counted
 */
guint64 ft_metrics_value (const FtMetrics *metrics, FtCounter counter);

/**
 * ft_metrics_name:
 *
 * Returns: (transfer none): the name of @counter in the admin API
 */
const char *ft_metrics_name (FtCounter counter);

/**
 * ft_metrics_record_latency:
 * @timer: what has taken time
 * @us: how long, in microseconds
 */
void ft_metrics_record_latency (FtMetrics *metrics, FtLatency timer, gint64 us);

/**
 * ft_metrics_body:
 *
 * Returns: (transfer full): all counters and the quantiles of all timers, as the admin API serves them
 */
json_t *ft_metrics_body (const FtMetrics *metrics);
