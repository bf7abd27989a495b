/* The notice with which the cloud announces that it takes a spot machine back.
 *
 * The machine gets no more starts. What saves its progress is stopped in time to do so; what would certainly be lost is
 * started elsewhere at once; the rest may complete. Called for each heartbeat that carries a notice. */
#pragma once
#include "core/machine.h"
#include "core/spot_risk.h"

/* `notice_s`: seconds until the machine is taken; negative: no notice. The first one counts as a loss in `spot_risk`.
 */
void ft_interruption_notice_apply (FtMachine *machine, double notice_s, FtSpotRisk *spot_risk);
