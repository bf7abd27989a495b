/* How much later a job is expected to end because the cloud takes spot machines back.
 *
 * The cloud publishes no rate at which it does so. It is estimated from what this leader
 * has seen: machine-hours of spot machines in use, and machines that were given notice.
 * Pure bookkeeping: no clock, no I/O. Owned by the scheduler; fed by the autoscaler and the interruption notices, read
 * by the placement. */
#pragma once
#include <glib.h>

#include "core/types.h"

typedef struct {
  double machine_hours; /* spot machines that were up, times how long */
  guint losses;         /* of them, those that were given notice */
} FtSpotRisk;

/* `machines` spot machines were up for `seconds`. */
void ft_spot_risk_observe (FtSpotRisk *risk, guint machines, double seconds);

/* One spot machine was given notice. */
void ft_spot_risk_lost (FtSpotRisk *risk);

/* Losses of a spot machine per hour, as estimated so far. */
double ft_spot_risk_rate (const FtSpotRisk *risk);

/* Expected delay in seconds of the end of a job that runs on spot machines only. A job ends
 * with its last task, so the delay grows with the number of tasks; a task that saves its
 * progress repeats no more than what it did since it last saved. */
double ft_spot_risk_delay_s (const FtSpotRisk *risk, const FtJobSpec *spec);
