#include "wire/messages.h"

#include <string.h>

#include "core/constants.h"
#include "wire/fields.h"

gboolean
ft_ref_valid (const char *ref)
{
  gsize size = strlen (ref);
  gsize prefix = strlen (FT_REF_PREFIX);
  if (!g_str_has_prefix (ref, FT_REF_PREFIX) || size <= prefix || size > FT_TEXT_MAX)
    return FALSE;
  for (const char *c = ref + prefix; *c != '\0'; c++)
    if (!g_ascii_isalnum (*c) && *c != '-' && *c != '_')
      return FALSE;
  return TRUE;
}

/* The place of a text that need not end in a zero among others; their number if it is
 * none of them. */
static guint
place_of (const char *text, gsize size, const char *const *all, guint n)
{
  guint i = 0;
  while (i < n && (strlen (all[i]) != size || memcmp (all[i], text, size) != 0))
    i++;
  return i;
}

static gboolean
read_priority (const json_t *body, FtPriority *priority)
{
  static const char *const names[] = { "best_effort", "normal", "high", "prod" };
  const char *name = json_string_value (json_object_get (body, "urgency"));
  guint i = name != NULL ? place_of (name, strlen (name), names, G_N_ELEMENTS (names)) : G_N_ELEMENTS (names);
  if (i == G_N_ELEMENTS (names))
    return FALSE;
  *priority = (FtPriority) i;
  return TRUE;
}

static gboolean
read_kind (const json_t *body, FtJobKind *kind)
{
  static const char *const names[] = { "array", "group", "service" };
  const char *name = json_string_value (json_object_get (body, "shape"));
  guint i = name != NULL ? place_of (name, strlen (name), names, G_N_ELEMENTS (names)) : G_N_ELEMENTS (names);
  if (i == G_N_ELEMENTS (names))
    return FALSE;
  *kind = (FtJobKind) i;
  return TRUE;
}

static gboolean
read_texts (const json_t *body, FtJobSpec *spec)
{
  return ft_field_text (body, "ref", FT_TEXT_MAX, &spec->ref) && ft_ref_valid (spec->ref)
         && ft_field_text (body, "lane", FT_TEXT_MAX, &spec->job_class)
         && ft_field_text (body, "crew", FT_TEXT_MAX, &spec->team) && read_kind (body, &spec->kind)
         && read_priority (body, &spec->priority) && ft_field_text (body, "bundle", FT_TEXT_MAX, &spec->image)
         && ft_field_text_or_null (body, "yard", FT_TEXT_MAX, &spec->zone)
         && (ft_field_is_null (body, "builds") || ft_field_texts (body, "builds", FT_TEXT_MAX, &spec->types));
}

static gboolean
read_amounts (const json_t *body, FtJobSpec *spec)
{
  return ft_field_amount (body, "cores", 0, FT_AMOUNT_MAX, &spec->cpus)
         && ft_field_amount (body, "cards", 0, FT_AMOUNT_MAX, &spec->gpus)
         && ft_field_amount (body, "mem_gb", 0, FT_AMOUNT_MAX, &spec->memory_gb)
         && ft_field_amount (body, "pull_gb", 0, FT_AMOUNT_MAX, &spec->image_gb)
         && ft_field_amount (body, "guess_s", 0, FT_AMOUNT_MAX, &spec->estimate_s)
         && ft_field_amount (body, "bookmark_s", 0, FT_AMOUNT_MAX, &spec->checkpoint_s)
         && ft_field_amount (body, "shelve_s", 0, FT_AMOUNT_MAX, &spec->save_s)
         && (ft_field_is_null (body, "due_s") || ft_field_amount (body, "due_s", 0, FT_AMOUNT_MAX, &spec->deadline_s));
}

/* The jobs that it needs, each once; none is the same as an empty list. */
static gboolean
read_dependencies_field (const json_t *body, FtJobSpec *spec)
{
  g_auto (GStrv) named = NULL;
  if (ft_field_is_null (body, "awaits"))
    return TRUE;
  if (!ft_field_texts (body, "awaits", FT_TEXT_MAX, &named))
    return FALSE;
  g_autoptr (GPtrArray) dependencies = g_ptr_array_new_with_free_func (g_free);
  g_autoptr (GHashTable) seen = g_hash_table_new (g_str_hash, g_str_equal);
  for (guint i = 0; named[i] != NULL; i++) {
    if (!ft_ref_valid (named[i]) || strcmp (named[i], spec->ref) == 0)
      return FALSE;
    if (g_hash_table_add (seen, named[i]))
      g_ptr_array_add (dependencies, g_strdup (named[i]));
  }
  if (dependencies->len == 0)
    return TRUE;
  g_ptr_array_add (dependencies, NULL);
  spec->dependencies = (GStrv) g_ptr_array_free (g_steal_pointer (&dependencies), FALSE);
  return TRUE;
}

FtJobSpec *
ft_message_job (const json_t *body)
{
  g_autoptr (FtJobSpec) spec = g_new0 (FtJobSpec, 1);
  guint64 tasks = 0;
  if (!json_is_object (body) || !read_texts (body, spec) || !read_amounts (body, spec)
      || !ft_field_count (body, "pieces", 1, FT_JOB_TASKS_MAX, &tasks)
      || !ft_field_bool (body, "one_zone", &spec->one_zone) || !ft_field_bool (body, "apart", &spec->spread)
      || !ft_field_bool (body, "loaners", &spec->spot) || !read_dependencies_field (body, spec))
    // NOLINTNEXTLINE(clang-analyzer-unix.Malloc): freed by g_auto cleanup, which the analyzer does not follow
    return NULL;
  spec->tasks = (guint) tasks;
  return g_steal_pointer (&spec);
}

json_t *
ft_message_job_state (const char *ref, const char *state, guint done, guint running, gboolean counts)
{
  const char *standing = strcmp (state, "cancelled") == 0 ? "withdrawn" : state;
  if (!counts)
    return json_pack ("{s:s, s:s}", "ref", ref, "standing", standing);
  return json_pack ("{s:s, s:s, s:i, s:i}", "ref", ref, "standing", standing, "done", (int) done, "running",
                    (int) running);
}

/* "req-000412/3" */
gboolean
ft_message_task_name (const char *name, FtTaskStatus *task)
{
  const char *slash = name != NULL ? strrchr (name, '/') : NULL;
  guint64 index;
  if (slash == NULL || !g_ascii_string_to_unsigned (slash + 1, 10, 0, FT_JOB_TASKS_MAX, &index, NULL))
    return FALSE;
  g_autofree char *job = g_strndup (name, (gsize) (slash - name));
  if (!ft_ref_valid (job))
    return FALSE;
  task->job = g_steal_pointer (&job);
  task->index = (guint) index;
  return TRUE;
}

gboolean
ft_message_task_state (const char *state, gsize state_size, const char *cause, gsize cause_size, FtTaskStatus *task)
{
  static const char *const states[] = { "fetching", "waiting", "running", "flushing", "exited" };
  static const char *const causes[]
      = { "", "done", "halted", "error", "no_room", "in_use", "no_such", "peers", "incomplete" };
  guint i = state != NULL ? place_of (state, state_size, states, G_N_ELEMENTS (states)) : G_N_ELEMENTS (states);
  if (i == G_N_ELEMENTS (states))
    return FALSE;
  task->state = (FtTaskPhase) i;
  if (task->state != FT_TASK_PHASE_EXITED)
    return TRUE;
  /* A cause we do not know is a failure like any other. */
  i = cause != NULL ? place_of (cause, cause_size, causes, G_N_ELEMENTS (causes)) : 0;
  task->exit_reason = i > 0 && i < G_N_ELEMENTS (causes) ? (FtExitReason) i : FT_EXIT_ERROR;
  return TRUE;
}

static gboolean
read_task_state (const json_t *item, FtTaskStatus *task)
{
  const json_t *state = json_object_get (item, "standing"), *cause = json_object_get (item, "cause");
  return ft_message_task_state (json_string_value (state), json_string_length (state), json_string_value (cause),
                                json_string_length (cause), task);
}

static gboolean
read_tasks (const json_t *list, GArray *tasks)
{
  if (!json_is_array (list))
    return FALSE;
  for (size_t i = 0; i < json_array_size (list); i++) {
    const json_t *item = json_array_get (list, i);
    FtTaskStatus task = { 0 };
    if (!ft_message_task_name (json_string_value (json_object_get (item, "piece")), &task))
      return FALSE;
    g_array_append_val (tasks, task);
    FtTaskStatus *kept = &g_array_index (tasks, FtTaskStatus, tasks->len - 1);
    if (!read_task_state (item, kept) || !ft_field_count (item, "try", 0, G_MAXINT64, &kept->attempt))
      return FALSE;
  }
  return TRUE;
}

FtWorkerHeartbeat *
ft_message_worker_heartbeat (const json_t *body)
{
  g_autoptr (FtWorkerHeartbeat) r = ft_worker_heartbeat_new ();
  if (!ft_field_text (body, "hearth", FT_TEXT_MAX, &r->machine)
      || !ft_field_text (body, "address", FT_TEXT_MAX, &r->addr)
      || !ft_field_text (body, "build", FT_TEXT_MAX, &r->type) || !ft_field_text (body, "yard", FT_TEXT_MAX, &r->zone)
      || !ft_field_bool (body, "loaners", &r->spot) || !ft_field_count (body, "shift", 0, G_MAXINT64, &r->incarnation)
      || !ft_field_count (body, "tally", 0, G_MAXINT64, &r->sequence)
      || !ft_field_count (body, "baton", 0, G_MAXINT64, &r->token)
      || !read_tasks (json_object_get (body, "pieces"), r->tasks))
    return NULL;
  if (!ft_field_is_null (body, "recall_s") && !ft_field_amount (body, "recall_s", 0, FT_AMOUNT_MAX, &r->notice_s))
    return NULL;
  return g_steal_pointer (&r);
}

static json_t *
command_list (const GArray *commands)
{
  static const char *const verbs[] = { "start", "stop", "clear" };
  json_t *list = json_array ();
  for (guint i = 0; commands != NULL && i < commands->len; i++) {
    const FtCommand *command = &g_array_index (commands, FtCommand, i);
    g_autofree char *task = g_strdup_printf ("%s/%u", command->job, command->index);
    json_t *item = json_pack ("{s:s, s:s, s:I}", "verb", verbs[command->op], "piece", task, "try",
                              (json_int_t) command->attempt);
    if (command->op == FT_COMMAND_STOP)
      json_object_set_new (item, "leeway_s", json_real (command->grace_s));
    json_array_append_new (list, item);
  }
  return list;
}

json_t *
ft_message_answer (guint64 token, const GArray *commands)
{
  return json_pack ("{s:I, s:o}", "baton", (json_int_t) token, "orders", command_list (commands));
}

json_t *
ft_message_redirect (const char *leader)
{
  return leader != NULL ? json_pack ("{s:s}", "answers_to", leader) : json_object ();
}

json_t *
ft_message_commands (guint64 token, guint64 incarnation, const GArray *commands)
{
  return json_pack ("{s:I, s:I, s:o}", "baton", (json_int_t) token, "shift", (json_int_t) incarnation, "orders",
                    command_list (commands));
}
