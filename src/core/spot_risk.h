/* The expected delay of a job's end because the cloud takes spot machines back.
 *
 * The cloud does not publish the rate at which it takes spot machines back. This module estimates the rate from the
 * observations of this leader: the machine-hours of spot machines that were up, and the number of interruption notices.
 * It only does arithmetic and uses neither a clock nor I/O. The scheduler owns the record; the autoscaler and the
 * interruption notices add observations, and the placement reads the estimate. */
#pragma once
#include <glib.h>

#include "core/types.h"

typedef struct {
  double machine_hours; /* total time for which spot machines were up */
  guint losses;         /* spot machines that got an interruption notice */
} FtSpotRisk;

/* Adds an observation: `machines` spot machines were up for `seconds`. */
void ft_spot_risk_observe (FtSpotRisk *risk, guint machines, double seconds);

/* Adds an observation: one spot machine got an interruption notice. */
void ft_spot_risk_lost (FtSpotRisk *risk);

/* Returns the present estimate of the losses of one spot machine per hour. */
double ft_spot_risk_rate (const FtSpotRisk *risk);

/* Returns the expected delay, in seconds, of the end of a job that runs on spot machines only. A job ends with its last
 * task, so the delay grows with the number of tasks. A task that saves its progress repeats at most the work since it
 * last saved. */
double ft_spot_risk_delay_s (const FtSpotRisk *risk, const FtJobSpec *spec);
