/* The state service's messages, and flintrack's rows in it.
 *
 *   l/fence          token, holder, incarnation; changes at acquisitions only
 *   l/renewal        changed by every renewal; tells of a release
 *   l/journal        number of the leader's last batch; every batch is
 *                    conditional on it, so that none can be applied late
 *   j/REF            a job's state: open, done, cancelled; kept for ever
 *   o/REF            an open job as submitted, with the jobs that it needs and the dispatch watermark
 *                    of what was sent; o/REF/w once it is cancelled
 *   d/REF/CHUNK      a chunk of an open job's done-set
 *   m/ROW            machines that may have been sent commands
 *   a/NAME           a machine that an operator has drained
 *   s/settings       the operators' settings; its revision is their version
 */
#pragma once
#include <jansson.h>

#include "core/lease.h"
#include "core/scheduler.h"
#include "core/tuning.h"

#define FT_KEY_FENCE "l/fence"
#define FT_KEY_RENEWAL "l/renewal"
#define FT_KEY_JOURNAL "l/journal"
#define FT_PREFIX_LEASE "l/"
#define FT_PREFIX_OPEN "o/"
#define FT_PREFIX_DONE "d/"
#define FT_PREFIX_REGISTRY "m/"
#define FT_PREFIX_DRAINED "a/"
#define FT_KEY_SETTINGS "s/settings"

/* A transaction being built; json_decref() frees it. */
json_t *ft_txn_new (void);
void ft_txn_if (json_t *txn, const char *key, guint64 revision);
/* Takes the value. */
void ft_txn_put (json_t *txn, const char *key, json_t *value);
void ft_txn_delete (json_t *txn, const char *key);

/* Answers. */
gboolean ft_store_revision (const json_t *body, guint64 *revision);
gboolean ft_store_failed (const json_t *body, const char *key);

/* A row as read; the value is borrowed from the message. */
typedef struct {
  const char *key;
  json_t *value; /* NULL: deleted */
  guint64 revision;
} FtRow;
gboolean ft_store_row (const json_t *body, FtRow *row);
/* Rows of a list or events of a watch, as a new array of FtRow; NULL if malformed. */
GArray *ft_store_rows (const json_t *body, gboolean *more);
GArray *ft_store_events (const json_t *body);

/* Rows of flintrack. */
char *ft_key_job (const char *ref);
char *ft_key_open (const char *ref);
char *ft_key_cancellation (const char *ref);
/* The ref of an index row, new; NULL if it is none. */
char *ft_key_open_ref (const char *key, gboolean *cancelled);
gboolean ft_key_chunk_parse (const char *key, char **ref, guint *chunk);

json_t *ft_row_fence (guint64 token, const char *holder, guint64 incarnation);
json_t *ft_row_renewal (guint64 token, gint64 lease_us, gboolean released);
json_t *ft_row_journal (guint64 token, guint64 batch);
gboolean ft_row_lease_parse (const GArray *rows, FtLeaseRows *out);
/* A job's own row. */
typedef struct {
  gboolean open, has_dependencies; /* has_dependencies: of an open one */
  FtJobEnd end;                    /* if it is not open */
  guint tasks;
  gint64 ended_wall_ms; /* 0: open, or its row is of an older version */
} FtJobRow;
json_t *ft_row_job_open (const FtJobSpec *spec);
json_t *ft_row_job_ended (FtJobEnd end, guint tasks, gint64 wall_ms);
gboolean ft_row_job_parse (const json_t *value, FtJobRow *out);
/* The mark of a cancellation, with the wall time of its commit; 0: it does not say. */
json_t *ft_row_cancellation (gint64 wall_ms);
gint64 ft_row_cancellation_time (const json_t *value);
json_t *ft_row_open (const FtJobSpec *spec);
/* The most bytes of JSON that the job's row takes at any time. */
gsize ft_row_open_size (const FtJobSpec *spec);
/* The revision of the job's own row, on which its end is conditional: the index row
 * is written with it, and again whenever the dispatch watermark is raised. */
guint64 ft_row_open_revision (const FtRow *row);
FtJobSpec *ft_row_open_parse (const char *ref, const json_t *value);
const char *ft_row_chunk_bits (const json_t *value);
gboolean ft_row_machine_parse (FtScheduler *scheduler, const FtRow *row);

/* The name of a machine from its row of drained ones; borrowed, or NULL. */
const char *ft_key_drained_name (const char *key);
char *ft_key_drained (const char *machine);
/* Operators' settings: unknown names and values out of range are left out. */
void ft_row_settings_parse (const json_t *value, FtTuning *tuning);
/* The value of one setting as JSON, new. */
json_t *ft_setting_value (const FtTuning *tuning, const FtTuningInfo *info);
/* FALSE if it is no number or choice within the range. */
gboolean ft_setting_parse (const FtTuningInfo *info, const json_t *value, double *out);

/* Adds a write of a leader's batch, sent at that wall time. */
void ft_txn_add_write (json_t *txn, const FtWrite *write, gint64 wall_ms);
/* The job among the writes whose row is named as failed; borrowed, or NULL. */
const char *ft_store_conflicted_job (const json_t *body, const GPtrArray *writes);
