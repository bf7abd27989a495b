/* What all modules of the core share: the settings, the time of the event being handled and what the
 * leader knows of its own standing. Owned by the scheduler, which alone writes it unless a field says
 * otherwise; the other modules borrow it. Times are microseconds of the steady clock, set to those of
 * the event: no module of the core reads a clock. */
#pragma once
#include "core/constants.h"
#include "core/tuning.h"
#include "core/types.h"

typedef struct {
  const FtSettings *settings; /* borrowed */
  FtCatalog *catalog;
  guint64 token;          /* our fencing token */
  gint64 now;             /* time of the event being handled */
  gint64 took_over_at;    /* when this leadership began */
  gint64 loaded_at;       /* when the rows of the store were read completely */
  gint64 answer_grace_us; /* how long a leader whose lease has expired may go on answering heartbeats */
  GRand *random;          /* seeded, so that a run can be repeated */
  FtTuning tuning;        /* operators' settings */
  gboolean may_start;     /* the lease is valid now */
  gboolean placement_due; /* a placement pass may find something to do; set by any module */
  guint examined_count;   /* machines and jobs looked at so far, by any module: tests bound the work by it */
  gint64 last_heard;      /* last heartbeat under our token: proof that workers receive our answers */
  gint64 last_tick;
  gint64 on_time_since;             /* we were late ourselves before: silence until then proves nothing */
  gint64 answering_since;           /* heartbeats were not answered until then */
  gint64 cloud_answered_at;         /* when the cloud last answered; 0: never */
  gint64 cancellations_known_until; /* all cancellations committed before that time are known */
} FtCoreContext;

/* Seconds as microseconds, rounded towards zero. */
static inline gint64
ft_seconds (double seconds)
{
  return (gint64) (seconds * FT_SECOND);
}
