#include "wire/heartbeat.h"

#include "core/constants.h"
#include "wire/fields.h"
#include "wire/messages.h"

static void
job_clear (gpointer data)
{
  g_free (((FtHeartbeatJob *) data)->ref);
}

FtHeartbeat *
ft_heartbeat_new (const char *member)
{
  FtHeartbeat *beat = g_new0 (FtHeartbeat, 1);
  beat->member = g_strdup (member);
  beat->jobs = g_array_new (FALSE, TRUE, sizeof (FtHeartbeatJob));
  g_array_set_clear_func (beat->jobs, job_clear);
  beat->cancellations = g_ptr_array_new_with_free_func (g_free);
  return beat;
}

void
ft_heartbeat_free (FtHeartbeat *beat)
{
  if (beat == NULL)
    return;
  g_free (beat->member);
  g_array_unref (beat->jobs);
  g_ptr_array_unref (beat->cancellations);
  g_free (beat);
}

void
ft_heartbeat_add_job (FtHeartbeat *beat, const char *ref, guint done, guint running)
{
  FtHeartbeatJob job = { g_strdup (ref), done, running };
  g_array_append_val (beat->jobs, job);
}

json_t *
ft_heartbeat_body (const FtHeartbeat *beat)
{
  json_t *body = json_pack ("{s:s}", "member", beat->member);
  if (beat->knows_needs)
    json_object_set_new (body, "knows_needs", json_true ());
  if (beat->served)
    json_object_set_new (body, "served_ms_ago", json_integer ((json_int_t) beat->served_ms_ago));
  if (beat->yields)
    json_object_set_new (body, "yields", json_true ());
  if (beat->cancellations->len > 0) {
    json_t *refs = json_array ();
    for (guint i = 0; i < beat->cancellations->len; i++)
      json_array_append_new (refs, json_string (g_ptr_array_index (beat->cancellations, i)));
    json_object_set_new (body, "withdrawn", refs);
  }
  if (beat->token == 0)
    return body;
  json_t *jobs = json_object ();
  for (guint i = 0; i < beat->jobs->len; i++) {
    const FtHeartbeatJob *job = &g_array_index (beat->jobs, FtHeartbeatJob, i);
    json_object_set_new (jobs, job->ref, json_pack ("[i, i]", (int) job->done, (int) job->running));
  }
  json_object_set_new (body, "token", json_integer ((json_int_t) beat->token));
  json_object_set_new (body, "jobs", jobs);
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
parse_jobs (FtHeartbeat *beat, const json_t *jobs)
{
  const char *ref;
  json_t *item;
  if (!json_is_object (jobs) || json_object_size (jobs) > FT_MESH_JOBS_MAX)
    return FALSE;
  json_object_foreach ((json_t *) jobs, ref, item)
  {
    guint done, running;
    if (!ft_ref_valid (ref) || !parse_progress (json_array_get (item, 0), &done)
        || !parse_progress (json_array_get (item, 1), &running))
      return FALSE;
    ft_heartbeat_add_job (beat, ref, done, running);
  }
  return TRUE;
}

static gboolean
parse_cancellations (FtHeartbeat *beat, const json_t *refs)
{
  if (!json_is_array (refs) || json_array_size (refs) > FT_PEER_CANCELLATIONS_MAX)
    return FALSE;
  for (size_t i = 0; i < json_array_size (refs); i++) {
    const char *ref = json_string_value (json_array_get (refs, i));
    if (ref == NULL || !ft_ref_valid (ref))
      return FALSE;
    g_ptr_array_add (beat->cancellations, g_strdup (ref));
  }
  return TRUE;
}

/* TRUE if the field is missing, so that nothing is to be read, or was read. */
static gboolean
parse_count (const json_t *body, const char *name, guint64 least, gboolean *present, guint64 *out)
{
  *present = !ft_field_is_null (body, name);
  return !*present || ft_field_count (body, name, least, G_MAXINT32, out);
}

FtHeartbeat *
ft_heartbeat_parse (const json_t *body)
{
  g_autoptr (FtHeartbeat) beat = ft_heartbeat_new (NULL);
  gboolean leads;
  if (!ft_field_text (body, "member", FT_TEXT_MAX, &beat->member)
      || !parse_count (body, "served_ms_ago", 0, &beat->served, &beat->served_ms_ago)
      || !parse_count (body, "token", 1, &leads, &beat->token))
    return NULL;
  if (!ft_field_is_null (body, "yields") && !ft_field_bool (body, "yields", &beat->yields))
    return NULL;
  if (!ft_field_is_null (body, "knows_needs") && !ft_field_bool (body, "knows_needs", &beat->knows_needs))
    return NULL;
  if (leads && !parse_jobs (beat, json_object_get (body, "jobs")))
    return NULL;
  if (!ft_field_is_null (body, "withdrawn") && !parse_cancellations (beat, json_object_get (body, "withdrawn")))
    return NULL;
  return g_steal_pointer (&beat);
}
