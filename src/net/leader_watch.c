#include "net/leader_watch.h"

#include "net/leader_recovery.h"
#include "net/leader_request.h"
#include "net/malformed.h"
#include "net/store_answers.h"
#include "net/store_client.h"
#include "wire/store.h"

/* The value of `not_before` until ft_leader_watch_resume() is called. */
#define PAUSED G_MAXINT64

struct _FtLeaderWatch {
  FtLeaderTerm *term; /* borrowed */
  FtLeaderRows *rows; /* borrowed */
  gboolean in_flight; /* whether a poll awaits its answer */
  gint64 not_before;  /* the next poll is not sent before this time; monotonic, microseconds */
};

FtLeaderWatch *
ft_leader_watch_new (FtLeaderTerm *term, FtLeaderRows *rows)
{
  FtLeaderWatch *watch = g_new0 (FtLeaderWatch, 1);
  watch->term = term;
  watch->rows = rows;
  return watch;
}

void
ft_leader_watch_free (FtLeaderWatch *watch)
{
  g_free (watch);
}

void
ft_leader_watch_end (FtLeaderWatch *watch)
{
  watch->in_flight = FALSE;
  watch->not_before = 0;
}

void
ft_leader_watch_resume (gpointer data)
{
  FtLeaderWatch *watch = data;
  watch->not_before = 0;
}

static FtLeaderOutcome
on_events (FtLeaderRequest *request, FtStoreResult result, const json_t *body)
{
  FtLeaderWatch *watch = request->owner;
  watch->in_flight = FALSE;
  if (result == FT_STORE_COMPACTED) {
    /* The store no longer has all changes since the known revision, so the rows are read again. Until then the watch
     * pauses: it would be refused again, or report changes as complete while older ones are still being read. */
    watch->not_before = PAUSED;
    ft_leader_recovery_start (watch->rows, ft_leader_watch_resume, watch);
    return FT_LEADER_OUTCOME_DONE;
  }
  g_autoptr (GArray) rows = NULL;
  guint64 revision;
  FtStoreResult read = ft_store_read_events (result, body, &rows, &revision);
  if (read == FT_STORE_MALFORMED)
    ft_malformed_log_add (watch->term->node->malformed, FT_COUNT_MALFORMED_STORE, "list of events");
  if (read != FT_STORE_OK) {
    watch->not_before = ft_leader_first_retry_at (watch->term);
    return FT_LEADER_OUTCOME_DONE;
  }
  ft_leader_rows_set_known_revision (watch->rows, revision);
  for (guint i = 0; i < rows->len; i++)
    ft_leader_rows_apply_open (watch->rows, &g_array_index (rows, FtRow, i), TRUE);
  ft_leader_rows_cancellations_known (watch->rows, request->created_at);
  return FT_LEADER_OUTCOME_PROGRESS;
}

static void
send_watch_request (FtLeaderRequest *request)
{
  const FtLeaderWatch *watch = request->owner;
  ft_store_client_watch (request->term->node->store, FT_PREFIX_OPEN, ft_leader_rows_known_revision (watch->rows),
                         ft_leader_request_on_store_answer, request);
}

static const FtLeaderRequestKind watch_kind = {
  .size = sizeof (FtLeaderRequest),
  .send = send_watch_request,
  .on_store_answer = on_events,
};

void
ft_leader_watch_tick (FtLeaderWatch *watch, gint64 now)
{
  if (watch->in_flight || now < watch->not_before || !ft_scheduler_is_loaded (watch->term->scheduler))
    return;
  watch->in_flight = TRUE;
  ft_leader_request_send (ft_leader_request_new (watch->term, &watch_kind, watch));
}
