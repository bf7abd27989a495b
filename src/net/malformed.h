/* Messages of workers, the cloud, the key-value store or peers that were refused as a whole and
 * have changed nothing: each is counted, and one of a source is logged now and then. */
#pragma once
#include "net/metrics.h"

/**
 * FtMalformedLog:
 *
 * One per process, owned by the node.
 */
typedef struct _FtMalformedLog FtMalformedLog;

/**
 * ft_malformed_log_new:
 * @member: the controller's name; borrowed for the log's life
 * @metrics: where to count; borrowed for the log's life
 *
 * Returns: (transfer full): the log
 */
FtMalformedLog *ft_malformed_log_new (const char *member, FtMetrics *metrics);

/**
 * ft_malformed_log_free:
 * @log: (nullable) (transfer full): the log
 */
void ft_malformed_log_free (FtMalformedLog *log);

/**
 * ft_malformed_log_add:
 * @source: one of FT_COUNT_MALFORMED_*
 * @what: the kind of message, for the log line
 *
 * Counts a message, and logs it unless one of @source was logged within FT_MALFORMED_LOG_S.
 */
void ft_malformed_log_add (FtMalformedLog *log, FtCounter source, const char *what);
