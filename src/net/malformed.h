/* Messages of workers, the cloud, the key-value store or peers that were refused as a whole and
 * have changed nothing: each is counted, and one of a source is logged now and then. */
#pragma once
#include "net/metrics.h"

typedef struct _FtMalformedLog FtMalformedLog;

/* `member` (the controller's name) and `metrics` are borrowed for the log's life. */
FtMalformedLog *ft_malformed_log_new (const char *member, FtMetrics *metrics);
void ft_malformed_log_free (FtMalformedLog *log);
/* `source`: one of FT_COUNT_MALFORMED_*; `what`: the kind of message, for the log line. */
void ft_malformed_log_add (FtMalformedLog *log, FtCounter source, const char *what);
