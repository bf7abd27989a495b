/* Counters and latency histograms of one controller, for its operators. */
#pragma once
#include <glib.h>
#include <jansson.h>

typedef struct _FtMetrics FtMetrics;

typedef enum {
  FT_COUNT_ACCEPTED,
  FT_COUNT_REFUSED,     /* 400 and 422 */
  FT_COUNT_UNAVAILABLE, /* 503 to users */
  FT_COUNT_POLLS,
  FT_COUNT_CANCELLED,
  FT_COUNT_CANCELLED_BY_DEPENDENCY, /* found on a poll: a job that it needs is cancelled */
  FT_COUNT_HEARTBEATS,
  FT_COUNT_REDIRECTS,
  FT_COUNT_TAKEOVERS,
  FT_COUNT_STEP_DOWNS,
  FT_COUNT_DIRECT_UNANSWERED,
  FT_COUNT_BATCHES,
  FT_COUNT_BATCHES_UNCERTAIN,
  FT_COUNT_BATCHES_INVALID,   /* refused by the state service as such, not for a condition */
  FT_COUNT_MALFORMED_WORKERS, /* messages that were refused; see ft_node_malformed() */
  FT_COUNT_MALFORMED_CLOUD,
  FT_COUNT_MALFORMED_STORE,
  FT_COUNT_MALFORMED_PEERS,
  FT_COUNTERS,
} FtCounter;

typedef enum { FT_TIME_SUBMIT, FT_TIME_BATCH, FT_TIME_DIRECT, FT_TIME_RECOVERY, FT_TIMERS } FtTimer;

FtMetrics *ft_metrics_new (void);
void ft_metrics_free (FtMetrics *metrics);
void ft_metrics_count (FtMetrics *metrics, FtCounter counter);
guint64 ft_metrics_value (const FtMetrics *metrics, FtCounter counter);
/* As operators see it. */
const char *ft_metrics_name (FtCounter counter);
void ft_metrics_time (FtMetrics *metrics, FtTimer timer, gint64 us);
json_t *ft_metrics_body (const FtMetrics *metrics);
