/* Machines that want a direct command or a probe. */
#pragma once
#include "core/scheduler.h"

typedef struct _FtMachine FtMachine;

typedef struct {
  GQueue directs; /* FtMachine that may want a direct request */
  GQueue probes;  /* FtMachine to be asked whether they are there */
  guint probes_in_flight;
} FtCommandQueue;

/* Since when the machine is silent, for all we can tell. */
gint64 ft_machine_silent_since (const FtScheduler *scheduler, const FtMachine *machine);
/* The ordinary gap between two heartbeats is over: a probe tells whether the
 * machine or only the exchange is lost. */
gboolean ft_machine_heartbeat_overdue (const FtScheduler *scheduler, const FtMachine *machine);
gboolean ft_machine_wants_probe (const FtScheduler *scheduler, const FtMachine *machine);
