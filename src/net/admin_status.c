/* The read-only requests of the administration API: a controller's status and metrics, and the leader's lists. */
#include <math.h>
#include <string.h>

#include "core/constants.h"
#include "core/lease.h"
#include "net/admin_endpoints.h"
#include "net/front.h"
#include "net/leader.h"
#include "net/leadership.h"
#include "net/metrics.h"
#include "net/peers.h"
#include "net/polls.h"
#include "net/store_client.h"

/* ---- status ---- */

/* Returns the seconds from `at` to `now`, rounded to two decimals; JSON null if `at` is 0 (never). */
static json_t *
seconds_ago (gint64 at, gint64 now)
{
  if (at <= 0)
    return json_null ();
  return json_real (round ((double) (now - at) / 10000) / 100);
}

static json_t *
peers_body (const FtNode *node, gint64 now)
{
  json_t *list = json_array ();
  for (guint i = 0; i < ft_peers_count (node->peers); i++) {
    gint64 heard_at;
    const FtPeer *peer = ft_peers_get (node->peers, i, &heard_at);
    json_array_append_new (list, json_pack ("{s:s, s:s, s:o}", "member", peer->member, "addr", peer->addr,
                                            "heard_s_ago", seconds_ago (heard_at, now)));
  }
  return list;
}

void
ft_admin_get_status (FtNode *node, FtHttpRequest *request)
{
  gint64 now = g_get_monotonic_time ();
  const FtScheduler *scheduler = ft_leader_scheduler (node->leader);
  json_t *body = json_pack (
      "{s:s, s:s, s:b, s:b, s:s, s:s?, s:I, s:b, s:i, s:o}", "member", node->config->member, "version", FT_VERSION,
      "ready", ft_node_ready (node, now), "state_service", ft_store_client_has_contact (node->store, now), "lease",
      ft_lease_state_name (ft_lease_state (node->lease)), "leader", ft_leadership_known_leader (node->leadership),
      "token", (json_int_t) (scheduler != NULL ? ft_lease_token (node->lease) : ft_peers_leader_token (node->peers)),
      "recovered", scheduler != NULL && ft_scheduler_is_loaded (scheduler), "user_connections",
      (int) ft_http_server_connections (node->front), "peers", peers_body (node, now));
  if (scheduler != NULL)
    json_object_set_new (body, "lease_age_s",
                         json_real ((double) (now - ft_leader_term_began_at (node->leader)) / FT_SECOND));
  ft_http_respond (request, FT_HTTP_OK, body);
}

/* ---- lists ---- */

static void
add_team (const FtTeamLimit *limit, double cpus, double gpus, gpointer data)
{
  json_array_append_new (data, json_pack ("{s:s, s:f, s:f, s:f, s:f, s:f, s:f}", "name", limit->name, "cpus", cpus,
                                          "cpus_guaranteed", limit->cpus, "cpus_max", limit->cpus_max, "gpus", gpus,
                                          "gpus_guaranteed", limit->gpus, "gpus_max", limit->gpus_max));
}

/* The list to which add_job() appends, and the scheduler of its jobs. */
typedef struct {
  const FtScheduler *scheduler;
  json_t *list;
} JobList;

/* Returns the first FT_ADMIN_REFS_MAX refs as one text, followed by the number of the remaining refs. Takes
 * ownership of the refs. */
static char *
refs_text (GStrv all)
{
  g_auto (GStrv) refs = all;
  GString *text = g_string_new (NULL);
  guint length = g_strv_length (refs);
  for (guint i = 0; i < MIN (length, FT_ADMIN_REFS_MAX); i++)
    g_string_append_printf (text, "%s%s", i > 0 ? " " : "", refs[i]);
  if (length > FT_ADMIN_REFS_MAX)
    g_string_append_printf (text, " and %u more", length - FT_ADMIN_REFS_MAX);
  return g_string_free (text, FALSE);
}

static void
add_job (const FtJobInfo *job, gpointer data)
{
  JobList *jobs = data;
  g_autofree char *dependencies = refs_text (ft_scheduler_job_dependencies (jobs->scheduler, job->ref));
  g_autofree char *awaited_by = refs_text (ft_scheduler_job_dependents (jobs->scheduler, job->ref));
  json_array_append_new (jobs->list, json_pack ("{s:s, s:s, s:s, s:i, s:i, s:i, s:s, s:s, s:s}", "job", job->ref,
                                                "class", job->job_class, "state", job->state, "tasks", (int) job->tasks,
                                                "done", (int) job->done, "running", (int) job->running, "waits_for",
                                                job->why_waiting, "awaits", dependencies, "awaited_by", awaited_by));
}

static void
add_waiting_job (const FtJobInfo *job, gpointer data)
{
  if (*job->why_waiting != '\0')
    add_job (job, data);
}

static void
add_machine (const char *name, const char *state, const char *type, const char *zone, gboolean spot,
             guint64 incarnation, guint tasks, const char *unused_reason, gpointer data)
{
  json_array_append_new (data,
                         json_pack ("{s:s, s:s, s:s, s:s, s:s, s:I, s:i, s:s}", "machine", name, "state", state, "type",
                                    type, "zone", zone, "kind", spot ? "spot" : "ordinary", "session",
                                    (json_int_t) incarnation, "tasks", (int) tasks, "not_used_because", unused_reason));
}

static void
add_teams (FtScheduler *scheduler, json_t *list)
{
  ft_scheduler_each_team (scheduler, add_team, list);
}

static void
add_jobs (FtScheduler *scheduler, json_t *list)
{
  JobList jobs = { scheduler, list };
  ft_scheduler_each_job (scheduler, add_job, &jobs);
}

static void
add_waiting_jobs (FtScheduler *scheduler, json_t *list)
{
  JobList jobs = { scheduler, list };
  ft_scheduler_each_job (scheduler, add_waiting_job, &jobs);
}

static void
add_machines (FtScheduler *scheduler, json_t *list)
{
  ft_scheduler_each_machine (scheduler, add_machine, list);
}

/* A list that the leader serves, and the function that appends its items to a JSON array. */
typedef struct {
  const char *name;
  void (*add) (FtScheduler *scheduler, json_t *list);
} List;

static const List lists[] = {
  { "teams", add_teams },
  { "jobs", add_jobs },
  { "queue", add_waiting_jobs },
  { "machines", add_machines },
};

static const List *
find_list (const char *name)
{
  for (guint i = 0; i < G_N_ELEMENTS (lists); i++)
    if (strcmp (lists[i].name, name) == 0)
      return &lists[i];
  return NULL;
}

gboolean
ft_admin_has_list (const char *name)
{
  return find_list (name) != NULL;
}

void
ft_admin_get_list (FtNode *node, FtHttpRequest *request, const char *name)
{
  json_t *list = json_array ();
  find_list (name)->add (ft_leader_scheduler (node->leader), list);
  ft_http_respond (request, FT_HTTP_OK, json_pack ("{s:o}", name, list));
}

/* ---- metrics ---- */

/* The name of one queue of requests to the key-value store, as the metrics' names contain it. */
typedef struct {
  FtStorePriority priority;
  const char *length_name, *longest_name, *refused_name;
} QueueNames;

static const QueueNames queue_names[] = {
  { FT_STORE_PRIORITY_CANCEL, "state_queue_cancel", "state_queue_cancel_longest", "state_queue_cancel_refused" },
  { FT_STORE_PRIORITY_COMMIT, "state_queue_commit", "state_queue_commit_longest", "state_queue_commit_refused" },
  { FT_STORE_PRIORITY_READ, "state_queue_read", "state_queue_read_longest", "state_queue_read_refused" },
};

/* Adds how full the queues of requests to the key-value store are, and the number of polls that wait for it. */
static void
add_queues (const FtNode *node, json_t *counters)
{
  for (guint i = 0; i < G_N_ELEMENTS (queue_names); i++) {
    FtStoreQueueStatus status = ft_store_client_queue_status (node->store, queue_names[i].priority);
    json_object_set_new (counters, queue_names[i].length_name, json_integer (status.length));
    json_object_set_new (counters, queue_names[i].longest_name, json_integer (status.longest));
    json_object_set_new (counters, queue_names[i].refused_name, json_integer ((json_int_t) status.refused));
  }
  json_object_set_new (counters, "polls_waiting", json_integer (ft_polls_waiting (node->polls)));
}

/* Adds the numbers of jobs and machines that the leader knows now. */
static void
add_leader_counts (const FtScheduler *scheduler, json_t *counters)
{
  guint open, waiting;
  ft_scheduler_count_jobs (scheduler, &open, &waiting);
  FtMachineCounts machines = ft_scheduler_count_machines (scheduler);
  json_object_set_new (counters, "open_jobs", json_integer (open));
  json_object_set_new (counters, "waiting_jobs", json_integer (waiting));
  json_object_set_new (counters, "up_machines", json_integer (machines.up));
  json_object_set_new (counters, "unused_machines", json_integer (machines.unused));
  json_object_set_new (counters, "quarantined_machines", json_integer (machines.quarantined));
  json_object_set_new (counters, "overdue_machines", json_integer (machines.overdue));
}

void
ft_admin_get_metrics (FtNode *node, FtHttpRequest *request)
{
  json_t *body = ft_metrics_body (node->metrics), *counters = json_object_get (body, "counters");
  const FtScheduler *scheduler = ft_leader_scheduler (node->leader);
  add_queues (node, counters);
  if (scheduler != NULL)
    add_leader_counts (scheduler, counters);
  ft_http_respond (request, FT_HTTP_OK, body);
}
