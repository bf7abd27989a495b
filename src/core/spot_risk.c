#include "core/spot_risk.h"

#include <math.h>

#include "core/constants.h"

void
ft_spot_risk_observe (FtSpotRisk *risk, guint machines, double seconds)
{
  risk->machine_hours += machines * seconds / FT_HOUR_S;
}

void
ft_spot_risk_lost (FtSpotRisk *risk)
{
  risk->losses++;
}

double
ft_spot_risk_rate (const FtSpotRisk *risk)
{
  return (FT_SPOT_PRIOR_LOSSES + risk->losses) / (FT_SPOT_PRIOR_HOURS + risk->machine_hours);
}

double
ft_spot_risk_delay_s (const FtSpotRisk *risk, const FtJobSpec *spec)
{
  double task_hours = spec->tasks * spec->estimate_s / FT_HOUR_S;
  double chance = 1 - exp (-ft_spot_risk_rate (risk) * task_hours);
  double repeated_s
      = spec->checkpoint_interval_s > 0 ? MIN (spec->checkpoint_interval_s, spec->estimate_s) : spec->estimate_s;
  return chance * repeated_s;
}
