/* What the leader has to write to the store. */
#pragma once
#include "core/scheduler.h"

typedef struct {
  GQueue pending_jobs;     /* FtJob that may have something to write */
  GQueue chunk_deletions;  /* FtWrite left over: chunk rows to delete */
  gboolean wrote_registry; /* the last batch had registry rows in it */
} FtWriteQueue;
