/* Rents and returns machines: by demand, with price in view. The calls to make
 * are handed out by ft_scheduler_next_cloud(). Part of the core. */
#pragma once
#include "core/scheduler.h"

GHashTable *ft_fleet_pools_new (void);
/* Plans rentals and marks the machines to return. */
void ft_fleet_tick (FtScheduler *s);
