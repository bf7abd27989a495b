#include "core/dependency.h"

/* A job in the graph. */
typedef struct {
  char *ref;
  gboolean is_open;        /* the job is open; otherwise only its dependents name it, and its state row is to be read */
  gboolean cancelled;      /* a direct or indirect dependency of the job is cancelled */
  gboolean queued_unread;  /* the job's ref is in `unread` */
  gint64 next_read_at;     /* earliest time of the next read of its state row, in microseconds */
  gint64 met_at;           /* when the last of its dependencies was done, in microseconds; 0: no such time is known */
  FtUrgency own_urgency;   /* the job's own urgency, as submitted */
  FtUrgency urgency;       /* the job's own urgency, raised to that of its dependents */
  GPtrArray *dependencies; /* Node, of the jobs that it waits for; borrowed from `nodes` */
  GPtrArray *dependents;   /* Node, of the jobs that wait for it; borrowed from `nodes` */
} Node;

struct _FtDependencyGraph {
  GHashTable *nodes;           /* ref -> Node, owned */
  GQueue unread;               /* refs of jobs whose state rows are to be read, owned; ordered by `next_read_at` */
  FtDependencyChanged changed; /* called when the wait or the urgency of a job has changed */
  gpointer data;               /* passed to `changed` */
};

static void
node_free (Node *node)
{
  g_free (node->ref);
  g_ptr_array_unref (node->dependencies);
  g_ptr_array_unref (node->dependents);
  g_free (node);
}

FtDependencyGraph *
ft_dependency_graph_new (FtDependencyChanged changed, gpointer data)
{
  FtDependencyGraph *graph = g_new0 (FtDependencyGraph, 1);
  graph->nodes = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, (GDestroyNotify) node_free);
  g_queue_init (&graph->unread);
  graph->changed = changed;
  graph->data = data;
  return graph;
}

void
ft_dependency_graph_free (FtDependencyGraph *graph)
{
  if (graph == NULL)
    return;
  g_hash_table_unref (graph->nodes);
  g_queue_clear_full (&graph->unread, g_free);
  g_free (graph);
}

static Node *
find (const FtDependencyGraph *graph, const char *ref)
{
  return g_hash_table_lookup (graph->nodes, ref);
}

static Node *
find_or_add (FtDependencyGraph *graph, const char *ref)
{
  Node *node = find (graph, ref);
  if (node != NULL)
    return node;
  node = g_new0 (Node, 1);
  node->ref = g_strdup (ref);
  node->dependencies = g_ptr_array_new ();
  node->dependents = g_ptr_array_new ();
  g_hash_table_insert (graph->nodes, node->ref, node);
  return node;
}

/* ---- urgency ---- */

/* Returns the job's own urgency, raised to that of its dependents that are not cancelled. */
static FtUrgency
compute_urgency (const Node *node)
{
  FtUrgency urgency = node->own_urgency;
  for (guint i = 0; i < node->dependents->len; i++) {
    const Node *dependent = g_ptr_array_index (node->dependents, i);
    gint64 deadline = dependent->urgency.deadline_at;
    if (dependent->cancelled)
      continue;
    urgency.priority = MAX (urgency.priority, dependent->urgency.priority);
    if (deadline > 0 && (urgency.deadline_at == 0 || deadline < urgency.deadline_at))
      urgency.deadline_at = deadline;
  }
  return urgency;
}

/* Recomputes the urgency of these jobs and, where it has changed, that of their dependencies. Takes ownership of the
 * array. */
static void
update_urgencies (FtDependencyGraph *graph, GPtrArray *nodes)
{
  while (nodes->len > 0) {
    Node *node = g_ptr_array_steal_index_fast (nodes, nodes->len - 1);
    FtUrgency urgency = compute_urgency (node);
    if (urgency.priority == node->urgency.priority && urgency.deadline_at == node->urgency.deadline_at)
      continue;
    node->urgency = urgency;
    graph->changed (node->ref, graph->data);
    for (guint i = 0; i < node->dependencies->len; i++)
      g_ptr_array_add (nodes, g_ptr_array_index (node->dependencies, i));
  }
  g_ptr_array_unref (nodes);
}

/* ---- jobs ---- */

/* Queues the read of the job's state row, unless the job is known to be open. */
static void
queue_read (FtDependencyGraph *graph, Node *node)
{
  if (node->is_open || node->queued_unread)
    return;
  node->queued_unread = TRUE;
  g_queue_push_head (&graph->unread, g_strdup (node->ref)); /* the row is to be read at once */
}

static void
link_dependencies (FtDependencyGraph *graph, Node *node, const char *const *dependencies)
{
  for (guint i = 0; dependencies != NULL && dependencies[i] != NULL; i++) {
    Node *dependency = find_or_add (graph, dependencies[i]);
    if (dependency == node || g_ptr_array_find (node->dependencies, dependency, NULL))
      continue;
    g_ptr_array_add (node->dependencies, dependency);
    g_ptr_array_add (dependency->dependents, node);
    queue_read (graph, dependency);
  }
}

/* Marks all direct and indirect dependents of the job as cancelled. */
static void
cancel_dependents (FtDependencyGraph *graph, Node *cancelled)
{
  g_autoptr (GPtrArray) nodes = g_ptr_array_new ();
  g_ptr_array_add (nodes, cancelled);
  while (nodes->len > 0) {
    Node *node = g_ptr_array_steal_index_fast (nodes, nodes->len - 1);
    for (guint i = 0; i < node->dependents->len; i++) {
      Node *dependent = g_ptr_array_index (node->dependents, i);
      if (dependent->cancelled)
        continue;
      dependent->cancelled = TRUE;
      graph->changed (dependent->ref, graph->data);
      g_ptr_array_add (nodes, dependent);
    }
  }
}

void
ft_dependency_graph_add (FtDependencyGraph *graph, const char *ref, const char *const *dependencies, gboolean cancelled,
                         const FtUrgency *own)
{
  Node *node = find_or_add (graph, ref);
  if (node->is_open)
    return;
  node->is_open = TRUE;
  node->own_urgency = *own;
  node->urgency = compute_urgency (node);
  link_dependencies (graph, node, dependencies);
  for (guint i = 0; i < node->dependencies->len; i++)
    cancelled |= ((const Node *) g_ptr_array_index (node->dependencies, i))->cancelled;
  node->cancelled = cancelled;
  graph->changed (node->ref, graph->data);
  if (cancelled)
    cancel_dependents (graph, node);
  update_urgencies (graph, g_ptr_array_copy (node->dependencies, NULL, NULL));
}

/* Removes the job from the dependents of its dependencies. A dependency that is not known to be open and has no other
 * dependents leaves the graph. */
static void
unlink_dependencies (FtDependencyGraph *graph, Node *node)
{
  GPtrArray *kept = g_ptr_array_new ();
  for (guint i = 0; i < node->dependencies->len; i++) {
    Node *dependency = g_ptr_array_index (node->dependencies, i);
    g_ptr_array_remove_fast (dependency->dependents, node);
    if (!dependency->is_open && dependency->dependents->len == 0)
      g_hash_table_remove (graph->nodes, dependency->ref);
    else
      g_ptr_array_add (kept, dependency);
  }
  g_ptr_array_set_size (node->dependencies, 0);
  update_urgencies (graph, kept);
}

/* Removes the job, which ended at `at`, from the dependencies of its dependents. */
static void
release_dependents (FtDependencyGraph *graph, Node *node, gint64 at)
{
  for (guint i = 0; i < node->dependents->len; i++) {
    Node *dependent = g_ptr_array_index (node->dependents, i);
    g_ptr_array_remove_fast (dependent->dependencies, node);
    dependent->met_at = MAX (dependent->met_at, at);
    if (dependent->dependencies->len == 0)
      graph->changed (dependent->ref, graph->data);
  }
}

void
ft_dependency_graph_job_ended (FtDependencyGraph *graph, const char *ref, FtJobEnd end, gint64 at)
{
  Node *node = find (graph, ref);
  if (node == NULL)
    return;
  if (end == FT_JOB_END_CANCELLED)
    cancel_dependents (graph, node);
  unlink_dependencies (graph, node);
  release_dependents (graph, node, at); /* the dependents of a cancelled job stay marked as cancelled */
  g_hash_table_remove (graph->nodes, ref);
}

FtWait
ft_dependency_graph_wait (const FtDependencyGraph *graph, const char *ref)
{
  const Node *node = find (graph, ref);
  if (node == NULL)
    return FT_WAIT_NONE;
  if (node->cancelled)
    return FT_WAIT_CANCELLED;
  return node->dependencies->len > 0 ? FT_WAIT_PENDING : FT_WAIT_NONE;
}

gint64
ft_dependency_graph_met_at (const FtDependencyGraph *graph, const char *ref)
{
  const Node *node = find (graph, ref);
  return node != NULL ? node->met_at : 0;
}

const FtUrgency *
ft_dependency_graph_urgency (const FtDependencyGraph *graph, const char *ref)
{
  const Node *node = find (graph, ref);
  return node != NULL ? &node->urgency : NULL;
}

/* ---- rows to be read ---- */

const char *
ft_dependency_graph_next_unread (FtDependencyGraph *graph, gint64 now, gint64 retry_us)
{
  char *ref;
  while ((ref = g_queue_peek_head (&graph->unread)) != NULL) {
    Node *node = find (graph, ref);
    if (node != NULL && !node->is_open && node->next_read_at > now)
      return NULL; /* the reads of the refs behind it are due later */
    g_queue_pop_head (&graph->unread);
    if (node != NULL && !node->is_open) {
      node->next_read_at = now + retry_us;
      g_queue_push_tail (&graph->unread, ref);
      return node->ref;
    }
    if (node != NULL)
      node->queued_unread = FALSE;
    g_free (ref);
  }
  return NULL;
}

/* ---- lists for operators ---- */

static GStrv
refs_of (const GPtrArray *nodes)
{
  GStrv refs = g_new0 (char *, nodes->len + 1);
  for (guint i = 0; i < nodes->len; i++)
    refs[i] = g_strdup (((const Node *) g_ptr_array_index (nodes, i))->ref);
  return refs;
}

GStrv
ft_dependency_graph_dependencies (const FtDependencyGraph *graph, const char *ref)
{
  const Node *node = find (graph, ref);
  return node != NULL ? refs_of (node->dependencies) : g_new0 (char *, 1);
}

GStrv
ft_dependency_graph_dependents (const FtDependencyGraph *graph, const char *ref)
{
  const Node *node = find (graph, ref);
  return node != NULL ? refs_of (node->dependents) : g_new0 (char *, 1);
}
