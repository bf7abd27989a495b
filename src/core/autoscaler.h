/* Scales machines out and in: by demand, with price in view. The calls to make
 * are handed out by ft_scheduler_next_cloud(). Part of the core. */
#pragma once
#include "core/scheduler.h"

GHashTable *ft_autoscaler_pools_new (void);
/* Plans launches and marks the machines to return. */
void ft_autoscaler_tick (FtScheduler *scheduler);
