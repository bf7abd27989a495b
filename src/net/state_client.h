/* Client of the state service: budgets, priorities, bounded queue, contact. */
#pragma once
#include "config.h"
#include "net/http.h"

typedef struct _FtState FtState;

typedef enum {
  FT_STATE_LEASE,  /* renewals and acquisitions: never wait for a budget */
  FT_STATE_CANCEL, /* cancellations: before all that waits for a budget */
  FT_STATE_COMMIT, /* the leader's batches, submissions */
  FT_STATE_READ,
} FtStatePriority;

FtState *ft_state_new (const FtConfig *config);
void ft_state_free (FtState *state);
/* Whether this controller leads, and so allows itself the leader's share of the limits. */
void ft_state_set_leading (FtState *state, gboolean leading);

/* `done` gets status 0 when no answer came: the request may still be executed.
 * 503 from a full queue looks like the service's own. */
void ft_state_get (FtState *state, const char *key, FtStatePriority priority, FtHttpDone done, gpointer data);
void ft_state_list (FtState *state, const char *prefix, const char *after, FtStatePriority priority, FtHttpDone done,
                    gpointer data);
void ft_state_commit (FtState *state, const json_t *txn, FtStatePriority priority, FtHttpDone done, gpointer data);
void ft_state_follow (FtState *state, const char *prefix, guint64 since, FtHttpDone done, gpointer data);

/* TRUE if the service has answered of late, and was not silent since. */
gboolean ft_state_contact (const FtState *state, gint64 now);
/* Since when it has failed us without a break; 0: it serves. */
gint64 ft_state_failing_since (const FtState *state);
/* Requests waiting for the budget. */
guint ft_state_queued (const FtState *state);
/* Whether the budget for changes is mostly unused. */
gboolean ft_state_spare_writes (FtState *state);
/* Seconds until the changes that wait now have been sent, within the budget. */
double ft_state_write_wait_s (const FtState *state);
/* When the service last served us; 0: never. */
gint64 ft_state_last_served (const FtState *state);
