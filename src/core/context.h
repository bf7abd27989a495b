/* The state that all modules of the core share: the settings, the time of the current event and the leader's
 * own status. The scheduler owns the context and is its only writer, except where a field's comment says
 * otherwise; the other modules borrow it. All times are microseconds of the steady clock. The scheduler sets
 * `now` from the event that it handles: no module of the core reads a clock. */
#pragma once
#include "core/duration.h"
#include "core/tuning.h"
#include "core/types.h"

typedef struct {
  const FtSettings *settings;  /* borrowed */
  FtCatalog *catalog;          /* the cloud's machine types */
  guint64 token;               /* this leader's fencing token, which is also the last of its worker tokens */
  guint64 first_worker_token;  /* the first of this leader's worker tokens, see worker_token.h */
  gint64 now;                  /* time of the event that is being handled */
  gint64 term_began_at;        /* when this leadership began */
  gint64 loaded_at;            /* when the leader finished reading the store's rows after the failover */
  gint64 answer_grace_us;      /* how long a leader whose lease has expired may continue to answer heartbeats */
  GRand *random;               /* source of all random choices; seeded, so that a run can be repeated */
  FtTuning tuning;             /* the operators' settings */
  gboolean may_start;          /* the lease allows the leader to start tasks now */
  gboolean placement_due;      /* a placement pass may have work; any module sets it */
  guint examined_count;        /* machines, jobs and attempts examined so far; any module adds to it, so that tests can
                                  bound the work that an event causes */
  gint64 last_acknowledged_at; /* when a worker's status last showed this leader's token, which proves that
                                  workers receive its answers; 0: never; set by the worker heartbeats */
  gint64 last_tick;            /* time of the scheduler's last tick; 0: none yet */
  gint64 timers_late_until;    /* when this controller was last late itself: heartbeats that were missing before
                                  this time do not count against a machine */
  gint64 answers_interrupted_until; /* when this leader last left heartbeats unanswered: heartbeats that were missing
                                       before this time do not count against a machine */
  gint64 cloud_answered_at;         /* when the cloud last answered; 0: never; set by the autoscaler */
  gint64 cancellations_known_until; /* every cancellation committed before this time is known */
} FtCoreContext;
