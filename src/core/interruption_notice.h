/* Interruption notices: the cloud announces that it will take a spot machine back.
 *
 * The machine gets no more starts. Running tasks that save checkpoints are stopped and get the time to save one. Tasks
 * that would still be far from done when the machine is taken back are stopped at once and start elsewhere. All other
 * tasks may complete. The notice ends with a heartbeat that carries none; if it runs out, the eviction
 * (machine_eviction.h) terminates the machine once it is idle. Called for each heartbeat. */
#pragma once
#include "core/machine.h"
#include "core/spot_risk.h"

/* Applies the notice in a heartbeat of the machine. `notice_s`: seconds until the cloud takes the machine back;
 * negative: the heartbeat carries no notice. The first notice of a machine counts as a loss in `spot_risk`. */
void ft_interruption_notice_apply (FtMachine *machine, double notice_s, FtSpotRisk *spot_risk);
