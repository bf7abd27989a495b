/* Counts and logs malformed messages of workers, the cloud, the key-value store and peers. A malformed
 * message is refused as a whole and changes nothing. Every message is counted; logging is rate-limited for
 * each source. */
#pragma once
#include "net/metrics.h"

/**
 * FtMalformedLog:
 *
 * The log of malformed messages. There is one per process; the node owns it.
 */
typedef struct _FtMalformedLog FtMalformedLog;

/**
 * ft_malformed_log_new:
 * @member: the controller's name; borrowed, must outlive the log
 * @metrics: the metrics in which the messages are counted; borrowed, must outlive the log
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
 * @source: the counter of the message's sender, one of FT_COUNT_MALFORMED_*
 * @message_kind: the kind of message, for the log line, for example "worker heartbeat"
 *
 * Counts a malformed message. Logs it unless a message of the same source was logged within the last
 * FT_MALFORMED_LOG_S seconds.
 */
void ft_malformed_log_add (FtMalformedLog *log, FtCounter source, const char *message_kind);
