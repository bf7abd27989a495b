/* The dependency graph (DAG) of the open jobs that a leader knows: which jobs wait for which, and which jobs change
 * when another one ends. It does no I/O and reads no clock. The job table owns and calls it.
 *
 * A dependency counts as met only after ft_dependency_graph_job_ended(), that is, when its end is known to be
 * committed. A job that is not in the graph may be open or ended; its state row has to be read, see
 * ft_dependency_graph_next_unread(). A job can only name dependencies that were accepted before it, so the graph has no
 * cycles. */
#pragma once
#include "core/types.h"

typedef struct _FtDependencyGraph FtDependencyGraph;

/* The urgency of a job: its own, or that of its most urgent direct or indirect dependent. */
typedef struct {
  FtPriority priority;
  gint64 deadline_at; /* earliest deadline, in microseconds; 0: no deadline */
} FtUrgency;

/* Whether a job has to wait for its dependencies. */
typedef enum {
  FT_WAIT_NONE,      /* all dependencies are done */
  FT_WAIT_PENDING,   /* a dependency is not done, or not known to be done */
  FT_WAIT_CANCELLED, /* a direct or indirect dependency is cancelled */
} FtWait;

/* Called when the wait or the urgency of a job has changed. The callback must not change the graph. */
typedef void (*FtDependencyChanged) (const char *ref, gpointer data);

/* Returns an empty graph. The functions below call `changed` with `data`. */
FtDependencyGraph *ft_dependency_graph_new (FtDependencyChanged changed, gpointer data);
/* Frees the graph; NULL is ignored. */
void ft_dependency_graph_free (FtDependencyGraph *graph);

/* Adds an open job with its own urgency; ignored if the graph has the job already. `dependencies` holds the refs of the
 * jobs that it waits for, NULL if there are none. `cancelled` is TRUE if one more dependency, which `dependencies` does
 * not hold, is known to be cancelled. */
void ft_dependency_graph_add (FtDependencyGraph *graph, const char *ref, const char *const *dependencies,
                              gboolean cancelled, const FtUrgency *own);
/* Removes a job whose end is committed. `at` is the time of the end in microseconds; 0 if the job ended long ago. Its
 * dependents that wait for no other job are reported as changed; if the job was cancelled, so are all of its direct and
 * indirect dependents. */
void ft_dependency_graph_job_ended (FtDependencyGraph *graph, const char *ref, FtJobEnd end, gint64 at);

/* Returns whether the job has to wait; FT_WAIT_NONE also if it is not in the graph. */
FtWait ft_dependency_graph_wait (const FtDependencyGraph *graph, const char *ref);
/* Returns when the last dependency of the job was done, in microseconds; 0 if the job had none, or if that was long
 * ago. */
gint64 ft_dependency_graph_met_at (const FtDependencyGraph *graph, const char *ref);
/* Returns the urgency of the job, raised to that of its dependents; borrowed. NULL if the job is not in the graph. */
const FtUrgency *ft_dependency_graph_urgency (const FtDependencyGraph *graph, const char *ref);

/* Returns the ref of a job that other jobs depend on and that is not known to be open or ended, so that its state row
 * has to be read. While that does not change, the same ref is returned again every `retry_us` microseconds. The ref is
 * borrowed; NULL if no row is to be read now. */
const char *ft_dependency_graph_next_unread (FtDependencyGraph *graph, gint64 now, gint64 retry_us);

/* Returns the refs of the jobs that the job waits for, as a new NULL-terminated array. */
GStrv ft_dependency_graph_dependencies (const FtDependencyGraph *graph, const char *ref);
/* Returns the refs of the jobs that wait for the job, as a new NULL-terminated array. */
GStrv ft_dependency_graph_dependents (const FtDependencyGraph *graph, const char *ref);
