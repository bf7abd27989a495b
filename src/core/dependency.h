/* Which open jobs wait for which others: the graph (DAG) of the jobs that a leader knows, and what
 * follows for the others when one of them ends. Pure: no I/O, no clock. Owned and called by the job
 * table.
 *
 * A dependency is met only by ft_dependency_graph_job_ended(), that is by an end that is known to be
 * committed. That a job is not in the graph proves nothing about it: its row is then to be read, see
 * ft_dependency_graph_next_unread(). Jobs can only name jobs that were accepted before them, so
 * the graph has no cycles. */
#pragma once
#include "core/types.h"

typedef struct _FtDependencyGraph FtDependencyGraph;

/* How urgent a job is: by itself, or by the most urgent of its dependents, direct or indirect. */
typedef struct {
  FtPriority priority;
  gint64 deadline_at; /* when it must be done, in microseconds; 0: no deadline */
} FtUrgency;

typedef enum {
  FT_WAIT_NONE,      /* all its dependencies are done */
  FT_WAIT_PENDING,   /* a dependency is not done yet, or not known to be */
  FT_WAIT_CANCELLED, /* a dependency, direct or indirect, is cancelled */
} FtWait;

/* The job's wait or urgency has changed. Must not change the graph. */
typedef void (*FtDependencyChanged) (const char *ref, gpointer data);

/* An empty graph. `changed` is called, with `data`, from within the functions below. */
FtDependencyGraph *ft_dependency_graph_new (FtDependencyChanged changed, gpointer data);
/* NULL is ignored. */
void ft_dependency_graph_free (FtDependencyGraph *graph);

/* Adds an open job; ignored if it is there. `dependencies`: refs of the jobs that it waits for, NULL if
 * none. `cancelled`: another dependency is known to be cancelled already. */
void ft_dependency_graph_add (FtDependencyGraph *graph, const char *ref, const char *const *dependencies,
                              gboolean cancelled, const FtUrgency *own);
/* The end of a job is committed, at that time (0: long ago). It leaves the graph; its dependents that
 * wait for nothing else are reported as changed. */
void ft_dependency_graph_job_ended (FtDependencyGraph *graph, const char *ref, FtJobEnd end, gint64 at);

/* What the job waits for; FT_WAIT_NONE also if it is not in the graph. */
FtWait ft_dependency_graph_wait (const FtDependencyGraph *graph, const char *ref);
/* When the last of its dependencies was done; 0: it had none, or long ago. */
gint64 ft_dependency_graph_met_at (const FtDependencyGraph *graph, const char *ref);
/* Its own urgency, or that of a dependent; borrowed. NULL: not in the graph. */
const FtUrgency *ft_dependency_graph_urgency (const FtDependencyGraph *graph, const char *ref);

/* A job that others depend on and of which nothing is known: its row is to be read. Returned again
 * only after `retry_us`, if it is still unknown. Borrowed; NULL: none now. */
const char *ft_dependency_graph_next_unread (FtDependencyGraph *graph, gint64 now, gint64 retry_us);

/* Refs of the jobs that the job waits for: new, NULL-terminated. */
GStrv ft_dependency_graph_dependencies (const FtDependencyGraph *graph, const char *ref);
/* Refs of the jobs that wait for the job: new, NULL-terminated. */
GStrv ft_dependency_graph_dependents (const FtDependencyGraph *graph, const char *ref);
