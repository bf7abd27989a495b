/* The administration API, on the peers listener only; users never reach it.
 * Reads answer with what this node knows; what only the leader knows is
 * answered with 421 and the leader's name and address elsewhere. */
#include <math.h>
#include <string.h>

#include "core/constants.h"
#include "log.h"
#include "net/node.h"
#include "wire/store.h"

static void refuse (FtHttpRequest *request, guint status, const char *format, ...) G_GNUC_PRINTF (3, 4);

static void
refuse (FtHttpRequest *request, guint status, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  g_autofree char *text = g_strdup_vprintf (format, args);
  va_end (args);
  ft_http_respond (request, status, json_pack ("{s:s}", "error", text));
}

/* ---- reads ---- */

static const char *
peer_addr (const FtNode *node, const char *member)
{
  for (guint i = 0; i < node->config->peers->len; i++) {
    const FtPeer *peer = &g_array_index (node->config->peers, FtPeer, i);
    if (g_strcmp0 (peer->member, member) == 0)
      return peer->addr;
  }
  return NULL;
}

static json_t *
peers_body (const FtNode *node, gint64 now)
{
  json_t *list = json_array ();
  for (guint i = 0; i < ft_peers_count (node->peers); i++) {
    gint64 heard_at;
    const FtPeer *peer = ft_peers_get (node->peers, i, &heard_at);
    json_array_append_new (
        list, json_pack ("{s:s, s:s, s:o}", "member", peer->member, "addr", peer->addr, "heard_s_ago",
                         heard_at > 0 ? json_real (round ((double) (now - heard_at) / 10000) / 100) : json_null ()));
  }
  return list;
}

static void
get_status (FtNode *node, FtHttpRequest *request)
{
  gint64 now = g_get_monotonic_time ();
  json_t *body = json_pack (
      "{s:s, s:s, s:b, s:b, s:s, s:s?, s:I, s:b, s:i, s:o}", "member", node->config->member, "version", FT_VERSION,
      "ready", ft_node_ready (node, now), "state_service", ft_store_client_contact (node->store, now), "lease",
      ft_lease_state_name (ft_lease_state (node->lease)), "leader", ft_node_leader (node), "token",
      (json_int_t) (node->leader.scheduler != NULL ? ft_lease_token (node->lease)
                                                   : ft_peers_leader_token (node->peers)),
      "recovered", node->leader.scheduler != NULL && ft_scheduler_is_loaded (node->leader.scheduler),
      "user_connections", (int) ft_http_server_connections (node->front), "peers", peers_body (node, now));
  if (node->leader.scheduler != NULL)
    json_object_set_new (body, "lease_age_s", json_real ((double) (now - node->leader.led_since) / FT_SECOND));
  ft_http_respond (request, 200, body);
}

static void
add_team (const FtTeamLimit *limit, double cpus, double gpus, gpointer data)
{
  json_array_append_new (data, json_pack ("{s:s, s:f, s:f, s:f, s:f, s:f, s:f}", "name", limit->name, "cpus", cpus,
                                          "cpus_guaranteed", limit->cpus, "cpus_max", limit->cpus_max, "gpus", gpus,
                                          "gpus_guaranteed", limit->gpus, "gpus_max", limit->gpus_max));
}

/* A list of jobs being made. */
typedef struct {
  const FtScheduler *scheduler;
  json_t *list;
} JobList;

/* Refs as one text, the first few of many; takes them. */
static char *
some_refs (GStrv all)
{
  g_auto (GStrv) refs = all;
  GString *text = g_string_new (NULL);
  guint n = g_strv_length (refs);
  for (guint i = 0; i < MIN (n, FT_ADMIN_REFS_MAX); i++)
    g_string_append_printf (text, "%s%s", i > 0 ? " " : "", refs[i]);
  if (n > FT_ADMIN_REFS_MAX)
    g_string_append_printf (text, " and %u more", n - FT_ADMIN_REFS_MAX);
  return g_string_free (text, FALSE);
}

static void
add_job (const FtJobInfo *job, gpointer data)
{
  JobList *jobs = data;
  g_autofree char *dependencies = some_refs (ft_scheduler_job_dependencies (jobs->scheduler, job->ref));
  g_autofree char *awaited_by = some_refs (ft_scheduler_job_dependents (jobs->scheduler, job->ref));
  json_array_append_new (jobs->list, json_pack ("{s:s, s:s, s:s, s:i, s:i, s:i, s:s, s:s, s:s}", "job", job->ref,
                                                "class", job->job_class, "state", job->state, "tasks", (int) job->tasks,
                                                "done", (int) job->done, "running", (int) job->running, "waits_for",
                                                job->why_waiting, "awaits", dependencies, "awaited_by", awaited_by));
}

static void
add_waiting (const FtJobInfo *job, gpointer data)
{
  if (*job->why_waiting != '\0')
    add_job (job, data);
}

static void
add_machine (const char *name, const char *state, const char *type, const char *zone, gboolean spot,
             guint64 incarnation, guint tasks, const char *unused_why, gpointer data)
{
  json_array_append_new (data,
                         json_pack ("{s:s, s:s, s:s, s:s, s:s, s:I, s:i, s:s}", "machine", name, "state", state, "type",
                                    type, "zone", zone, "kind", spot ? "spot" : "ordinary", "session",
                                    (json_int_t) incarnation, "tasks", (int) tasks, "not_used_because", unused_why));
}

static void
get_list (FtNode *node, FtHttpRequest *request, const char *what)
{
  json_t *list = json_array ();
  JobList jobs = { node->leader.scheduler, list };
  if (strcmp (what, "teams") == 0)
    ft_scheduler_each_team (node->leader.scheduler, add_team, list);
  else if (strcmp (what, "jobs") == 0)
    ft_scheduler_each_job (node->leader.scheduler, add_job, &jobs);
  else if (strcmp (what, "queue") == 0)
    ft_scheduler_each_job (node->leader.scheduler, add_waiting, &jobs);
  else
    ft_scheduler_each_machine (node->leader.scheduler, add_machine, list);
  ft_http_respond (request, 200, json_pack ("{s:o}", what, list));
}

/* The counters since the start; a leader's also say how many jobs there are now. */
static void
get_metrics (FtNode *node, FtHttpRequest *request)
{
  json_t *body = ft_metrics_body (node->metrics), *counters = json_object_get (body, "counters");
  if (node->leader.scheduler != NULL) {
    guint open, waiting;
    ft_scheduler_count_jobs (node->leader.scheduler, &open, &waiting);
    json_object_set_new (counters, "open_jobs", json_integer (open));
    json_object_set_new (counters, "waiting_jobs", json_integer (waiting));
  }
  ft_http_respond (request, 200, body);
}

/* ---- settings ---- */

typedef struct {
  FtNode *node;
  FtHttpRequest *request;
  char *machine;
  gboolean drain;
  FtTuning tuning; /* to be in force once committed */
} AdminCall;

static void
admin_call_free (AdminCall *call)
{
  g_free (call->machine);
  g_free (call);
}

static json_t *
settings_body (const FtTuning *tuning, guint64 version)
{
  guint n;
  const FtTuningInfo *all = ft_tuning_table (&n);
  json_t *list = json_array ();
  for (guint i = 0; i < n; i++) {
    json_t *item
        = json_pack ("{s:s, s:o, s:s, s:f, s:f, s:s}", "name", all[i].name, "value", ft_setting_value (tuning, &all[i]),
                     "unit", all[i].unit, "least", all[i].least, "most", all[i].most, "what", all[i].what);
    FtTuning standard;
    ft_tuning_defaults (&standard);
    json_object_set_new (item, "default", ft_setting_value (&standard, &all[i]));
    json_array_append_new (list, item);
  }
  return json_pack ("{s:I, s:o}", "version", (json_int_t) version, "settings", list);
}

void
ft_node_apply_settings (FtNode *node, const FtTuning *tuning, guint64 version)
{
  if (version == node->settings.settings_version && version != 0)
    return;
  node->settings.tuning = *tuning;
  node->settings.settings_version = version;
  ft_lease_set_times (node->lease, (gint64) (tuning->lease_s * FT_SECOND), (gint64) (tuning->sweep_s * FT_SECOND),
                      tuning->sweep_jitter, tuning->renew_fraction);
  if (node->leader.scheduler != NULL)
    ft_scheduler_set_tuning (node->leader.scheduler, tuning);
  const char *const choices[] = FT_LOG_CHOICES;
  guint level = (guint) tuning->log_level;
  const char *environment = g_getenv ("LOG_LEVEL");
  ft_log_set_level (level > 0 ? choices[level] : environment != NULL ? environment : "error");
  g_message ("node %s: operators' settings of version %" G_GUINT64_FORMAT, node->config->member, version);
}

static void
on_settings (FtStoreResult result, const json_t *body, gpointer data)
{
  FtNode *node = data;
  FtTuning tuning;
  FtRow row;
  node->settings.settings_in_flight = FALSE;
  if (result != FT_STORE_OK || !ft_store_row (body, &row))
    return;
  ft_row_settings_parse (row.value, &tuning);
  g_autofree char *why = ft_tuning_check (&tuning, &node->config->core);
  if (why != NULL)
    g_warning ("node %s: stored settings not used: %s", node->config->member, why);
  else
    ft_node_apply_settings (node, &tuning, row.revision);
}

void
ft_admin_tick (FtNode *node, gint64 now)
{
  if (now < node->settings.next_settings || node->settings.settings_in_flight)
    return;
  node->settings.next_settings = now + (gint64) (FT_SETTINGS_EVERY_S * FT_SECOND);
  node->settings.settings_in_flight = TRUE;
  ft_store_client_get (node->store, FT_KEY_SETTINGS, FT_STORE_PRIORITY_READ, on_settings, node);
}

static void
on_put (FtStoreResult result, const json_t *body, gpointer data)
{
  AdminCall *call = data;
  guint64 revision;
  if (result == FT_STORE_OK && ft_store_revision (body, &revision)) {
    ft_node_apply_settings (call->node, &call->tuning, revision);
    ft_http_respond (call->request, 200, settings_body (&call->tuning, revision));
  } else if (result == FT_STORE_CONFLICT) {
    call->node->settings.next_settings = 0; /* see the change at once */
    refuse (call->request, 409, "the settings have changed meanwhile: read them again");
  } else {
    refuse (call->request, 503, "the state service did not confirm the change: read the settings again");
  }
  admin_call_free (call);
}

/* Reads {"version":N,"set":{name:value,...}}; null sets a default. */
static gboolean
read_change (FtNode *node, FtHttpRequest *request, FtTuning *tuning, guint64 *version)
{
  const json_t *body = ft_http_body (request);
  const json_t *stated = json_object_get (body, "version"), *set = json_object_get (body, "set");
  const char *name;
  json_t *value;
  if (!json_is_integer (stated) || json_integer_value (stated) < 0 || !json_is_object (set)) {
    refuse (request, 400, "needed: {\"version\": N, \"set\": {NAME: VALUE}}");
    return FALSE;
  }
  *version = (guint64) json_integer_value (stated);
  *tuning = node->settings.tuning;
  json_object_foreach ((json_t *) set, name, value)
  {
    const FtTuningInfo *info = ft_tuning_find (name);
    double number = info != NULL ? info->standard : 0;
    if (info == NULL) {
      refuse (request, 404, "there is no setting %s", name);
      return FALSE;
    }
    if (!json_is_null (value) && !ft_setting_parse (info, value, &number)) {
      refuse (request, 422, "%s: from %g to %g %s", name, info->least, info->most, info->unit);
      return FALSE;
    }
    ft_tuning_set (tuning, info, number);
  }
  return TRUE;
}

static void
put_settings (FtNode *node, FtHttpRequest *request)
{
  FtTuning tuning;
  guint64 version;
  if (!read_change (node, request, &tuning, &version))
    return;
  if (version != node->settings.settings_version) {
    refuse (request, 409, "the settings are at version %" G_GUINT64_FORMAT, node->settings.settings_version);
    return;
  }
  g_autofree char *why = ft_tuning_check (&tuning, &node->config->core);
  if (why != NULL) {
    refuse (request, 422, "%s", why);
    return;
  }
  if (!ft_store_client_contact (node->store, g_get_monotonic_time ())) {
    refuse (request, 503, "the state service does not answer");
    return;
  }
  guint n;
  const FtTuningInfo *all = ft_tuning_table (&n);
  json_t *row = json_object (), *txn = ft_txn_new ();
  for (guint i = 0; i < n; i++)
    json_object_set_new (row, all[i].name, ft_setting_value (&tuning, &all[i]));
  ft_txn_if (txn, FT_KEY_SETTINGS, version);
  ft_txn_put (txn, FT_KEY_SETTINGS, row);
  AdminCall *call = g_new0 (AdminCall, 1);
  call->node = node;
  call->request = request;
  call->tuning = tuning;
  ft_store_client_commit (node->store, txn, FT_STORE_PRIORITY_COMMIT, on_put, call);
  json_decref (txn);
}

/* ---- drains ---- */

static void
on_drained (FtStoreResult result, const json_t *body, gpointer data)
{
  AdminCall *call = data;
  (void) body;
  if (result != FT_STORE_OK) {
    refuse (call->request, 503, "the state service did not confirm the change: try again");
  } else {
    if (call->node->leader.scheduler != NULL)
      ft_scheduler_drain (call->node->leader.scheduler, call->machine, call->drain);
    ft_http_respond (call->request, 200, json_pack ("{s:s, s:b}", "machine", call->machine, "drained", call->drain));
  }
  admin_call_free (call);
}

static void
set_drain (FtNode *node, FtHttpRequest *request, const char *machine, gboolean drain)
{
  if (drain && !ft_scheduler_knows (node->leader.scheduler, machine)) {
    refuse (request, 404, "there is no machine %s", machine);
    return;
  }
  AdminCall *call = g_new0 (AdminCall, 1);
  call->node = node;
  call->request = request;
  call->machine = g_strdup (machine);
  call->drain = drain;
  g_autofree char *key = ft_key_drained (machine);
  json_t *txn = ft_txn_new ();
  ft_txn_if (txn, FT_KEY_FENCE, ft_lease_fence_revision (node->lease));
  if (drain)
    ft_txn_put (txn, key, json_object ());
  else
    ft_txn_delete (txn, key);
  ft_store_client_commit (node->store, txn, FT_STORE_PRIORITY_COMMIT, on_drained, call);
  json_decref (txn);
}

/* ---- routes ---- */

/* What only a recovered leader can answer; FALSE if the answer is given. */
static gboolean
need_leader (FtNode *node, FtHttpRequest *request)
{
  if (node->leader.scheduler != NULL && ft_scheduler_is_loaded (node->leader.scheduler))
    return TRUE;
  const char *leader = ft_node_leader (node);
  const char *addr = leader != NULL ? peer_addr (node, leader) : NULL;
  if (addr != NULL)
    ft_http_respond (request, 421,
                     json_pack ("{s:s, s:s, s:s}", "error", "this node does not lead", "leader", leader, "addr", addr));
  else
    refuse (request, 503, "no leader is known at the moment");
  return FALSE;
}

static void
handle_get (FtNode *node, FtHttpRequest *request, const char *what)
{
  const char *const lists[] = { "teams", "jobs", "queue", "machines", NULL };
  if (strcmp (what, "status") == 0)
    get_status (node, request);
  else if (strcmp (what, "metrics") == 0)
    get_metrics (node, request);
  else if (strcmp (what, "settings") == 0)
    ft_http_respond (request, 200, settings_body (&node->settings.tuning, node->settings.settings_version));
  else if (!g_strv_contains (lists, what))
    refuse (request, 404, "there is no /admin/%s", what);
  else if (need_leader (node, request))
    get_list (node, request, what);
}

void
ft_admin_handle (FtNode *node, FtHttpRequest *request)
{
  const char *method = ft_http_method (request);
  g_auto (GStrv) parts = g_strsplit (ft_http_path (request) + strlen ("/admin/"), "/", 4);
  guint n = g_strv_length (parts);
  gboolean drain = n == 3 && strcmp (parts[2], "drain") == 0;
  gboolean undrain = n == 3 && strcmp (parts[2], "undrain") == 0;
  if (n == 1 && strcmp (method, "GET") == 0)
    handle_get (node, request, parts[0]);
  else if (n == 1 && strcmp (parts[0], "settings") == 0 && strcmp (method, "PUT") == 0)
    put_settings (node, request);
  else if (strcmp (parts[0] != NULL ? parts[0] : "", "machines") == 0 && (drain || undrain)) {
    if (strcmp (method, "POST") != 0)
      refuse (request, 405, "use POST");
    else if (need_leader (node, request))
      set_drain (node, request, parts[1], drain);
  } else if (n == 1)
    refuse (request, 405, "use GET, or PUT for settings");
  else
    refuse (request, 404, "there is no such path");
}
