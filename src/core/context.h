/* What all modules of the core share: the settings, the time of the present event and what the
 * leader knows of its own standing. Written by scheduler.c only, unless a field says otherwise. */
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
  gint64 loaded_at;       /* when the rows were read */
  gint64 answer_grace_us; /* how long an expired leader may go on answering heartbeats */
  GRand *random;          /* seeded */
  FtTuning tuning;        /* operators' settings */
  gboolean may_start;     /* the lease is valid now */
  gboolean placement_due; /* a placement pass may find something to do; set by any module */
  guint looked_at;        /* machines and jobs looked at so far: what bounds of work are tested on */
  gint64 last_heard;      /* heartbeat under our token: proof that workers hear us */
  gint64 last_tick;
  gint64 on_time_since;             /* silence before it proves nothing: we were late ourselves */
  gint64 answering_since;           /* until then heartbeats went unanswered */
  gint64 cloud_answered_at;         /* 0: never */
  gint64 cancellations_known_until; /* all cancellations before that time are known */
} FtCoreContext;

/* Seconds as microseconds. */
static inline gint64
ft_seconds (double seconds)
{
  return (gint64) (seconds * FT_SECOND);
}
