/* What a heartbeat tells of its machine and of the attempts there. */
#pragma once
#include "core/types.h"

typedef struct _FtScheduler FtScheduler;
typedef struct _FtMachine FtMachine;

/* `is_heartbeat`: it came by itself, not as the answer to a direct command. */
void ft_machine_apply_status (FtScheduler *scheduler, FtMachine *machine, const FtWorkerHeartbeat *heartbeat,
                              gboolean is_heartbeat);
