/* Which open jobs wait for which others: a graph of the jobs that a leader knows, and what
 * follows from the end of one of them. Pure: no I/O, no clock.
 *
 * A need is met only by ft_dependency_graph_settle(): by an end that is known to be committed.
 * That a job is not in the graph proves nothing about it; it is then to be read, see
 * ft_dependency_graph_next_unread(). Jobs can only name jobs that were accepted before them, so
 * the graph has no cycles. */
#pragma once
#include "core/types.h"

typedef struct _FtDependencyGraph FtDependencyGraph;

/* How urgent a job is: by itself, or by the most urgent of those that need it. */
typedef struct {
  FtPriority priority;
  gint64 deadline_at; /* when it must be done, in microseconds; 0: no deadline */
} FtUrgency;

typedef enum {
  FT_WAIT_NONE,      /* all that it needs is done */
  FT_WAIT_OTHERS,    /* something that it needs is not done yet, or not known to be */
  FT_WAIT_CANCELLED, /* something that it needs, directly or through others, is cancelled */
} FtWait;

/* The job's wait or urgency has changed. Must not change the graph. */
typedef void (*FtDependencyChanged) (const char *ref, gpointer data);

FtDependencyGraph *ft_dependency_graph_new (FtDependencyChanged changed, gpointer data);
void ft_dependency_graph_free (FtDependencyGraph *graph);

/* An open job. `needs`: what it waits for, NULL if nothing; `cancelled`: something that it
 * needs is cancelled already. */
void ft_dependency_graph_add (FtDependencyGraph *graph, const char *ref, const char *const *dependencies,
                              gboolean cancelled, const FtUrgency *own);
/* The end of a job is committed, at that time (0: long ago). It leaves the graph. */
void ft_dependency_graph_settle (FtDependencyGraph *graph, const char *ref, FtJobEnd end, gint64 at);

FtWait ft_dependency_graph_wait (const FtDependencyGraph *graph, const char *ref);
/* When the last job that it needed was done; 0: it needed none, or long ago. */
gint64 ft_dependency_graph_met_at (const FtDependencyGraph *graph, const char *ref);
/* Its own urgency, or that of a job that needs it; borrowed. NULL: not in the graph. */
const FtUrgency *ft_dependency_graph_urgency (const FtDependencyGraph *graph, const char *ref);

/* A job that others need and of which nothing is known: its row is to be read. Named again
 * only after `retry_us`, if it is unknown still. Borrowed; NULL: none now. */
const char *ft_dependency_graph_next_unread (FtDependencyGraph *graph, gint64 now, gint64 retry_us);

/* What the job waits for, and what waits for it: new, NULL-terminated. */
GStrv ft_dependency_graph_dependencies (const FtDependencyGraph *graph, const char *ref);
GStrv ft_dependency_graph_dependents (const FtDependencyGraph *graph, const char *ref);
