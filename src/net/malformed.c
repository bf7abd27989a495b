#include "net/malformed.h"

#include "core/constants.h"
#include "core/duration.h"

struct _FtMalformedLog {
  const char *member;            /* borrowed */
  FtMetrics *metrics;            /* borrowed */
  gint64 logged_at[FT_COUNTERS]; /* time of the last log line of each source; monotonic, microseconds, 0: none */
};

FtMalformedLog *
ft_malformed_log_new (const char *member, FtMetrics *metrics)
{
  FtMalformedLog *log = g_new0 (FtMalformedLog, 1);
  log->member = member;
  log->metrics = metrics;
  return log;
}

void
ft_malformed_log_free (FtMalformedLog *log)
{
  g_free (log);
}

void
ft_malformed_log_add (FtMalformedLog *log, FtCounter source, const char *message_kind)
{
  gint64 now = g_get_monotonic_time ();
  ft_metrics_count (log->metrics, source);
  gint64 last = log->logged_at[source];
  if (last > 0 && now - last < ft_seconds (FT_MALFORMED_LOG_S))
    return;
  log->logged_at[source] = now;
  g_warning ("node %s: a malformed %s was refused (%s: %" G_GUINT64_FORMAT ")", log->member, message_kind,
             ft_metrics_name (source), ft_metrics_value (log->metrics, source));
}
