/* The jobs that a leader knows to be open: how they come, wait for others, are cancelled and end. */
#pragma once
#include "core/dependency.h"
#include "core/job.h"
#include "core/recent_map.h"

typedef struct {
  GHashTable *jobs;                /* ref -> FtJob, owned */
  FtRecentMap *ended_jobs;         /* jobs whose end this leader has committed or read: ref -> FtJobEnd */
  FtDependencyGraph *dependencies; /* of the open jobs */
  guint open_tasks;
} FtJobTable;

void ft_open_jobs_init (FtScheduler *scheduler);
void ft_open_jobs_clear (FtScheduler *scheduler);
/* Nothing of the job starts any more, and what runs is stopped; `at`: when its cancellation was committed. */
void ft_job_cancel (FtScheduler *scheduler, FtJob *job, gint64 at);
/* Its end is in the store: frees the job; what is left of it on machines is stopped. */
void ft_job_end (FtScheduler *scheduler, FtJob *job, FtJobEnd end);
