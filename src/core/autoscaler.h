/* Scales machines out and in: by demand, with price in view. The calls to make
 * are handed out by ft_scheduler_next_cloud(). Part of the core. */
#pragma once
#include "core/scheduler.h"
#include "core/spot_risk.h"

typedef struct {
  GHashTable *pools; /* "type/zone/kind" -> FtPool, owned */
  guint64 next_booking;
  gint64 next_autoscale;
  FtSpotRisk spot_risk;
  gint64 spot_observed_at; /* up to when `spot_risk` counts machine-hours; 0: not begun */
  gint64 silent_window_at;
  guint silent_terminated;
  gint64 unseen_cancellation_us; /* age of the oldest cancellation of which tasks may run unseen; 0: none */
  gboolean store_unreachable;    /* so long without sight of cancellations that silent machines must go */
  GQueue terminating;            /* FtMachine to be terminated */
} FtAutoscaler;

GHashTable *ft_autoscaler_pools_new (void);
/* Plans launches and marks the machines to return. */
void ft_autoscaler_tick (FtScheduler *scheduler);
