#include "wire/peer_heartbeat.h"

#include "core/constants.h"
#include "wire/fields.h"
#include "wire/messages.h"

#define FIELD_MEMBER "member"                     /* name of the controller that sends the heartbeat */
#define FIELD_SUPPORTS_DEPENDENCIES "knows_needs" /* whether the sender's version supports job dependencies */
#define FIELD_STORE_ANSWERED "served_ms_ago"      /* milliseconds since the store last answered the sender */
#define FIELD_YIELDS "yields"                     /* whether the sender has recently resigned or yielded leadership */
#define FIELD_CANCELLATIONS "withdrawn" /* refs of jobs whose cancellation the sender has committed recently */
#define FIELD_FENCING_TOKEN "token"     /* the sender's fencing token; missing: the sender does not lead */
#define FIELD_JOBS "jobs"               /* progress of the leader's jobs: a map from ref to [done, running] */

static void
job_clear (gpointer data)
{
  g_free (((FtPeerHeartbeatJob *) data)->ref);
}

FtPeerHeartbeat *
ft_peer_heartbeat_new (const char *member)
{
  FtPeerHeartbeat *heartbeat = g_new0 (FtPeerHeartbeat, 1);
  heartbeat->member = g_strdup (member);
  heartbeat->jobs = g_array_new (FALSE, TRUE, sizeof (FtPeerHeartbeatJob));
  g_array_set_clear_func (heartbeat->jobs, job_clear);
  heartbeat->cancellations = g_ptr_array_new_with_free_func (g_free);
  return heartbeat;
}

void
ft_peer_heartbeat_free (FtPeerHeartbeat *heartbeat)
{
  if (heartbeat == NULL)
    return;
  g_free (heartbeat->member);
  g_array_unref (heartbeat->jobs);
  g_ptr_array_unref (heartbeat->cancellations);
  g_free (heartbeat);
}

void
ft_peer_heartbeat_add_job (FtPeerHeartbeat *heartbeat, const char *ref, guint done, guint running)
{
  FtPeerHeartbeatJob job = { g_strdup (ref), done, running };
  g_array_append_val (heartbeat->jobs, job);
}

static json_t *
cancellation_list (const FtPeerHeartbeat *heartbeat)
{
  json_t *refs = json_array ();
  for (guint i = 0; i < heartbeat->cancellations->len; i++)
    json_array_append_new (refs, json_string (g_ptr_array_index (heartbeat->cancellations, i)));
  return refs;
}

static json_t *
job_map (const FtPeerHeartbeat *heartbeat)
{
  json_t *jobs = json_object ();
  for (guint i = 0; i < heartbeat->jobs->len; i++) {
    const FtPeerHeartbeatJob *job = &g_array_index (heartbeat->jobs, FtPeerHeartbeatJob, i);
    json_object_set_new (jobs, job->ref, json_pack ("[i, i]", (int) job->done, (int) job->running));
  }
  return jobs;
}

json_t *
ft_peer_heartbeat_body (const FtPeerHeartbeat *heartbeat)
{
  json_t *body = json_pack ("{s:s}", FIELD_MEMBER, heartbeat->member);
  if (heartbeat->supports_dependencies)
    json_object_set_new (body, FIELD_SUPPORTS_DEPENDENCIES, json_true ());
  if (heartbeat->served)
    json_object_set_new (body, FIELD_STORE_ANSWERED, json_integer ((json_int_t) heartbeat->served_ms_ago));
  if (heartbeat->yields)
    json_object_set_new (body, FIELD_YIELDS, json_true ());
  if (heartbeat->cancellations->len > 0)
    json_object_set_new (body, FIELD_CANCELLATIONS, cancellation_list (heartbeat));
  if (heartbeat->token != 0) {
    json_object_set_new (body, FIELD_FENCING_TOKEN, json_integer ((json_int_t) heartbeat->token));
    json_object_set_new (body, FIELD_JOBS, job_map (heartbeat));
  }
  return body;
}

static gboolean
parse_progress (const json_t *item, guint *out)
{
  if (!json_is_integer (item) || json_integer_value (item) < 0 || json_integer_value (item) > FT_JOB_TASKS_MAX)
    return FALSE;
  *out = (guint) json_integer_value (item);
  return TRUE;
}

static gboolean
parse_jobs (FtPeerHeartbeat *heartbeat, const json_t *jobs)
{
  const char *ref;
  json_t *item;
  if (!json_is_object (jobs) || json_object_size (jobs) > FT_PEER_JOBS_MAX)
    return FALSE;
  json_object_foreach ((json_t *) jobs, ref, item)
  {
    guint done, running;
    if (!ft_ref_valid (ref) || !parse_progress (json_array_get (item, 0), &done)
        || !parse_progress (json_array_get (item, 1), &running))
      return FALSE;
    ft_peer_heartbeat_add_job (heartbeat, ref, done, running);
  }
  return TRUE;
}

static gboolean
parse_cancellations (FtPeerHeartbeat *heartbeat, const json_t *refs)
{
  if (!json_is_array (refs) || json_array_size (refs) > FT_PEER_CANCELLATIONS_MAX)
    return FALSE;
  for (size_t i = 0; i < json_array_size (refs); i++) {
    const char *ref = json_string_value (json_array_get (refs, i));
    if (ref == NULL || !ft_ref_valid (ref))
      return FALSE;
    g_ptr_array_add (heartbeat->cancellations, g_strdup (ref));
  }
  return TRUE;
}

/* Reads an optional number from `min` to `max`. Returns FALSE if the field is present but not valid. */
static gboolean
parse_count (const json_t *body, const char *name, guint64 min, guint64 max, gboolean *present, guint64 *out)
{
  *present = !ft_field_is_null (body, name);
  return !*present || ft_field_count (body, name, min, max, out);
}

/* Reads an optional boolean. Returns FALSE if the field is present but not valid. */
static gboolean
parse_bool (const json_t *body, const char *name, gboolean *out)
{
  return ft_field_is_null (body, name) || ft_field_bool (body, name, out);
}

FtPeerHeartbeat *
ft_peer_heartbeat_parse (const json_t *body)
{
  g_autoptr (FtPeerHeartbeat) heartbeat = ft_peer_heartbeat_new (NULL);
  gboolean leads;
  if (!ft_field_text (body, FIELD_MEMBER, FT_TEXT_MAX, &heartbeat->member)
      || !parse_count (body, FIELD_STORE_ANSWERED, 0, G_MAXINT32, &heartbeat->served, &heartbeat->served_ms_ago)
      || !parse_count (body, FIELD_FENCING_TOKEN, 1, FT_FENCING_TOKEN_MAX, &leads, &heartbeat->token)
      || !parse_bool (body, FIELD_YIELDS, &heartbeat->yields)
      || !parse_bool (body, FIELD_SUPPORTS_DEPENDENCIES, &heartbeat->supports_dependencies))
    return NULL;
  if (leads && !parse_jobs (heartbeat, json_object_get (body, FIELD_JOBS)))
    return NULL;
  if (!ft_field_is_null (body, FIELD_CANCELLATIONS)
      && !parse_cancellations (heartbeat, json_object_get (body, FIELD_CANCELLATIONS)))
    return NULL;
  return g_steal_pointer (&heartbeat);
}
