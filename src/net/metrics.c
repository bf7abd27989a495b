#include "net/metrics.h"

#include <gsl/gsl_histogram.h>
#include <math.h>

#include "core/constants.h"

static const char *const counter_names[FT_COUNTERS] = {
  [FT_COUNT_ACCEPTED] = "submissions_accepted",
  [FT_COUNT_REFUSED] = "submissions_refused",
  [FT_COUNT_UNAVAILABLE] = "users_told_unavailable",
  [FT_COUNT_POLLS] = "polls",
  [FT_COUNT_CANCELLED] = "withdrawals",
  [FT_COUNT_CANCELLED_BY_DEPENDENCY] = "cancelled_with_need",
  [FT_COUNT_HEARTBEATS] = "reports_answered",
  [FT_COUNT_HEARTBEATS_OLDER] = "reports_older",
  [FT_COUNT_HEARTBEATS_FORMER] = "reports_former_session",
  [FT_COUNT_HEARTBEATS_EXPIRED] = "reports_session_over",
  [FT_COUNT_HEARTBEATS_FORMER_TOKEN] = "reports_former_token",
  [FT_COUNT_HEARTBEATS_GONE] = "reports_machine_gone",
  [FT_COUNT_REDIRECTS] = "reports_redirected",
  [FT_COUNT_TAKEOVERS] = "takeovers",
  [FT_COUNT_STEP_DOWNS] = "step_downs",
  [FT_COUNT_DIRECT_UNANSWERED] = "direct_unanswered",
  [FT_COUNT_BATCHES] = "batches_committed",
  [FT_COUNT_BATCHES_UNCERTAIN] = "batches_uncertain",
  [FT_COUNT_BATCHES_INVALID] = "batches_invalid",
  [FT_COUNT_MALFORMED_WORKERS] = "malformed_workers",
  [FT_COUNT_MALFORMED_CLOUD] = "malformed_cloud",
  [FT_COUNT_MALFORMED_STORE] = "malformed_state",
  [FT_COUNT_MALFORMED_PEERS] = "malformed_peers",
};
static const char *const latency_names[FT_LATENCIES] = { "submit_ms", "batch_ms", "direct_ms", "recovery_ms" };

struct _FtMetrics {
  guint64 counters[FT_COUNTERS];
  gsl_histogram *latencies[FT_LATENCIES];
};

/* Returns an empty histogram whose buckets grow by a constant factor, from FT_HISTOGRAM_MIN_MS to
 * FT_HISTOGRAM_MAX_MS. */
static gsl_histogram *
histogram_new (void)
{
  gsl_histogram *histogram = gsl_histogram_alloc (FT_HISTOGRAM_BUCKETS);
  double ranges[FT_HISTOGRAM_BUCKETS + 1];
  double step = log (FT_HISTOGRAM_MAX_MS / FT_HISTOGRAM_MIN_MS) / FT_HISTOGRAM_BUCKETS;
  for (int i = 0; i <= FT_HISTOGRAM_BUCKETS; i++)
    ranges[i] = FT_HISTOGRAM_MIN_MS * exp (step * i);
  gsl_histogram_set_ranges (histogram, ranges, G_N_ELEMENTS (ranges));
  return histogram;
}

FtMetrics *
ft_metrics_new (void)
{
  FtMetrics *metrics = g_new0 (FtMetrics, 1);
  for (int i = 0; i < FT_LATENCIES; i++)
    metrics->latencies[i] = histogram_new ();
  return metrics;
}

void
ft_metrics_free (FtMetrics *metrics)
{
  if (metrics == NULL)
    return;
  for (int i = 0; i < FT_LATENCIES; i++)
    gsl_histogram_free (metrics->latencies[i]);
  g_free (metrics);
}

void
ft_metrics_count (FtMetrics *metrics, FtCounter counter)
{
  metrics->counters[counter]++;
}

guint64
ft_metrics_value (const FtMetrics *metrics, FtCounter counter)
{
  return metrics->counters[counter];
}

const char *
ft_metrics_name (FtCounter counter)
{
  return counter_names[counter];
}

void
ft_metrics_record_latency (FtMetrics *metrics, FtLatency latency, gint64 us)
{
  double ms = CLAMP ((double) us / 1000, FT_HISTOGRAM_MIN_MS, FT_HISTOGRAM_MAX_MS * 0.999);
  gsl_histogram_increment (metrics->latencies[latency], ms);
}

/* Returns the upper bound of the bucket, in milliseconds, at which `share` of all values is reached; 0 if the
 * histogram is empty. */
static double
quantile (const gsl_histogram *histogram, double share)
{
  double total = gsl_histogram_sum (histogram), seen = 0, lower, upper = 0;
  for (size_t i = 0; i < gsl_histogram_bins (histogram) && (seen < total * share || i == 0); i++) {
    seen += gsl_histogram_get (histogram, i);
    gsl_histogram_get_range (histogram, i, &lower, &upper);
  }
  return total > 0 ? upper : 0;
}

json_t *
ft_metrics_body (const FtMetrics *metrics)
{
  json_t *counters = json_object (), *latencies = json_object ();
  for (int i = 0; i < FT_COUNTERS; i++)
    json_object_set_new (counters, counter_names[i], json_integer ((json_int_t) metrics->counters[i]));
  for (int i = 0; i < FT_LATENCIES; i++) {
    const gsl_histogram *histogram = metrics->latencies[i];
    json_object_set_new (latencies, latency_names[i],
                         json_pack ("{s:I, s:f, s:f, s:f}", "count", (json_int_t) gsl_histogram_sum (histogram), "p50",
                                    quantile (histogram, 0.5), "p95", quantile (histogram, 0.95), "p99",
                                    quantile (histogram, 0.99)));
  }
  return json_pack ("{s:o, s:o}", "counters", counters, "latency", latencies);
}
