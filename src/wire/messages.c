#include "wire/messages.h"

#include <string.h>

#include "core/constants.h"
#include "wire/fields.h"
#include "wire/protocol.h"

gboolean
ft_ref_valid (const char *ref)
{
  gsize size = strlen (ref);
  gsize prefix = strlen (FT_REF_PREFIX);
  if (!g_str_has_prefix (ref, FT_REF_PREFIX) || size <= prefix || size > FT_TEXT_MAX)
    return FALSE;
  for (gsize i = prefix; i < size; i++)
    if (!g_ascii_isalnum (ref[i]) && ref[i] != '-' && ref[i] != '_')
      return FALSE;
  return TRUE;
}

/* The protocol's names of priorities, indexed by FtPriority. */
static const char *const priority_words[] = {
  [FT_PRIORITY_LOW] = "best_effort",
  [FT_PRIORITY_NORMAL] = "normal",
  [FT_PRIORITY_HIGH] = "high",
  [FT_PRIORITY_PRODUCTION] = "prod",
};
/* The protocol's names of job kinds, indexed by FtJobKind. */
static const char *const kind_words[] = {
  [FT_KIND_ARRAY] = "array",
  [FT_KIND_GANG] = "group",
  [FT_KIND_SERVICE] = "service",
};
/* The protocol's names of task states, indexed by FtTaskPhase. */
static const char *const task_state_words[] = {
  [FT_TASK_PHASE_FETCHING] = "fetching",      [FT_TASK_PHASE_WAITING] = "waiting", [FT_TASK_PHASE_RUNNING] = "running",
  [FT_TASK_PHASE_CHECKPOINTING] = "flushing", [FT_TASK_PHASE_EXITED] = "exited",
};
/* The protocol's names of exit reasons, indexed by FtExitReason. */
static const char *const exit_reason_words[] = {
  [FT_EXIT_NONE] = "", /* the task has not exited; the protocol has no name for this case */
  [FT_EXIT_DONE] = "done",
  [FT_EXIT_STOPPED] = "halted",
  [FT_EXIT_ERROR] = "error",
  [FT_EXIT_NO_ROOM] = "no_room",
  [FT_EXIT_BUSY] = "in_use",
  [FT_EXIT_UNKNOWN] = "no_such",
  [FT_EXIT_GANG_TASK_ENDED] = "peers",
  [FT_EXIT_GANG_INCOMPLETE] = "incomplete",
};
/* The protocol's names of command operations, indexed by FtCommandOp. */
static const char *const command_words[] = {
  [FT_COMMAND_START] = "start",
  [FT_COMMAND_STOP] = "stop",
  [FT_COMMAND_FORGET] = "clear",
};

/* The core's name of the state of a cancelled job. */
#define CORE_CANCELLED "cancelled"
/* The protocol's name of the state of a cancelled job. */
#define WORD_CANCELLED "withdrawn"

/* Returns the position of `text` in `words`; `count`, which is the number of words, if `words` does not contain the
 * text or `text` is NULL. `size` is the length of `text`, which need not end in a zero byte. */
static guint
find_word (const char *text, gsize size, const char *const *words, guint count)
{
  guint i = 0;
  if (text == NULL)
    return count;
  while (i < count && (strlen (words[i]) != size || memcmp (words[i], text, size) != 0))
    i++;
  return i;
}

/* Returns the position in `words` of the text of the field `name`; `count`, which is the number of words, if the field
 * is missing or `words` does not contain its text. */
static guint
read_word (const json_t *body, const char *name, const char *const *words, guint count)
{
  const char *text = json_string_value (json_object_get (body, name));
  return find_word (text, text != NULL ? strlen (text) : 0, words, count);
}

static gboolean
read_priority (const json_t *body, FtPriority *priority)
{
  guint found = read_word (body, FT_WIRE_PRIORITY, priority_words, G_N_ELEMENTS (priority_words));
  if (found == G_N_ELEMENTS (priority_words))
    return FALSE;
  *priority = (FtPriority) found;
  return TRUE;
}

static gboolean
read_kind (const json_t *body, FtJobKind *kind)
{
  guint found = read_word (body, FT_WIRE_KIND, kind_words, G_N_ELEMENTS (kind_words));
  if (found == G_N_ELEMENTS (kind_words))
    return FALSE;
  *kind = (FtJobKind) found;
  return TRUE;
}

static gboolean
read_texts (const json_t *body, FtJobSpec *spec)
{
  return ft_field_text (body, FT_WIRE_JOB_REF, FT_TEXT_MAX, &spec->ref) && ft_ref_valid (spec->ref)
         && ft_field_text (body, FT_WIRE_JOB_CLASS, FT_TEXT_MAX, &spec->job_class)
         && ft_field_text (body, FT_WIRE_TEAM, FT_TEXT_MAX, &spec->team) && read_kind (body, &spec->kind)
         && read_priority (body, &spec->priority) && ft_field_text (body, FT_WIRE_IMAGE, FT_TEXT_MAX, &spec->image)
         && ft_field_text_or_null (body, FT_WIRE_ZONE, FT_TEXT_MAX, &spec->zone)
         && (ft_field_is_null (body, FT_WIRE_MACHINE_TYPES)
             || ft_field_texts (body, FT_WIRE_MACHINE_TYPES, FT_TEXT_MAX, &spec->types));
}

static gboolean
read_amounts (const json_t *body, FtJobSpec *spec)
{
  return ft_field_amount (body, FT_WIRE_CPUS, 0, FT_AMOUNT_MAX, &spec->cpus)
         && ft_field_amount (body, FT_WIRE_GPUS, 0, FT_AMOUNT_MAX, &spec->gpus)
         && ft_field_amount (body, FT_WIRE_MEMORY, 0, FT_AMOUNT_MAX, &spec->memory_gb)
         && ft_field_amount (body, FT_WIRE_IMAGE_SIZE, 0, FT_AMOUNT_MAX, &spec->image_gb)
         && ft_field_amount (body, FT_WIRE_ESTIMATE, 0, FT_AMOUNT_MAX, &spec->estimate_s)
         && ft_field_amount (body, FT_WIRE_CHECKPOINT_INTERVAL, 0, FT_AMOUNT_MAX, &spec->checkpoint_interval_s)
         && ft_field_amount (body, FT_WIRE_CHECKPOINT_DURATION, 0, FT_AMOUNT_MAX, &spec->checkpoint_duration_s)
         && (ft_field_is_null (body, FT_WIRE_DEADLINE)
             || ft_field_amount (body, FT_WIRE_DEADLINE, 0, FT_AMOUNT_MAX, &spec->deadline_s));
}

/* Reads the optional dependencies and removes duplicates. An empty list means that the job has no dependencies. */
static gboolean
read_dependencies (const json_t *body, FtJobSpec *spec)
{
  g_auto (GStrv) named = NULL;
  if (ft_field_is_null (body, FT_WIRE_DEPENDENCIES))
    return TRUE;
  if (!ft_field_texts (body, FT_WIRE_DEPENDENCIES, FT_TEXT_MAX, &named))
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
      || !ft_field_count (body, FT_WIRE_TASKS, 1, FT_JOB_TASKS_MAX, &tasks)
      || !ft_field_bool (body, FT_WIRE_ONE_ZONE, &spec->one_zone)
      || !ft_field_bool (body, FT_WIRE_SPREAD, &spec->spread) || !ft_field_bool (body, FT_WIRE_SPOT, &spec->spot)
      || !read_dependencies (body, spec))
    // NOLINTNEXTLINE(clang-analyzer-unix.Malloc): freed by g_auto cleanup, which the analyzer does not follow
    return NULL;
  spec->tasks = (guint) tasks;
  return g_steal_pointer (&spec);
}

json_t *
ft_message_job_state (const char *ref, const char *state, guint done, guint running, gboolean counts)
{
  const char *word = strcmp (state, CORE_CANCELLED) == 0 ? WORD_CANCELLED : state;
  if (!counts)
    return json_pack ("{s:s, s:s}", FT_WIRE_JOB_REF, ref, FT_WIRE_STATE, word);
  return json_pack ("{s:s, s:s, s:i, s:i}", FT_WIRE_JOB_REF, ref, FT_WIRE_STATE, word, FT_WIRE_TASKS_DONE, (int) done,
                    FT_WIRE_TASKS_RUNNING, (int) running);
}

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
  guint phase = find_word (state, state_size, task_state_words, G_N_ELEMENTS (task_state_words));
  if (phase == G_N_ELEMENTS (task_state_words))
    return FALSE;
  task->state = (FtTaskPhase) phase;
  if (task->state != FT_TASK_PHASE_EXITED)
    return TRUE;
  /* An unknown exit reason counts as an ordinary failure. */
  guint reason = find_word (cause, cause_size, exit_reason_words, G_N_ELEMENTS (exit_reason_words));
  gboolean known = reason != FT_EXIT_NONE && reason < G_N_ELEMENTS (exit_reason_words);
  task->exit_reason = known ? (FtExitReason) reason : FT_EXIT_ERROR;
  return TRUE;
}

static gboolean
read_task_state (const json_t *item, FtTaskStatus *task)
{
  const json_t *state = json_object_get (item, FT_WIRE_STATE), *cause = json_object_get (item, FT_WIRE_EXIT_REASON);
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
    if (!ft_message_task_name (json_string_value (json_object_get (item, FT_WIRE_TASK)), &task))
      return FALSE;
    g_array_append_val (tasks, task);
    FtTaskStatus *kept = &g_array_index (tasks, FtTaskStatus, tasks->len - 1);
    if (!read_task_state (item, kept) || !ft_field_count (item, FT_WIRE_ATTEMPT, 0, G_MAXINT64, &kept->attempt))
      return FALSE;
  }
  return TRUE;
}

FtWorkerHeartbeat *
ft_message_worker_heartbeat (const json_t *body)
{
  g_autoptr (FtWorkerHeartbeat) heartbeat = ft_worker_heartbeat_new ();
  if (!ft_field_text (body, FT_WIRE_MACHINE, FT_TEXT_MAX, &heartbeat->machine)
      || !ft_field_text (body, FT_WIRE_ADDRESS, FT_TEXT_MAX, &heartbeat->addr)
      || !ft_field_text (body, FT_WIRE_MACHINE_TYPE, FT_TEXT_MAX, &heartbeat->type)
      || !ft_field_text (body, FT_WIRE_ZONE, FT_TEXT_MAX, &heartbeat->zone)
      || !ft_field_bool (body, FT_WIRE_SPOT, &heartbeat->spot)
      || !ft_field_count (body, FT_WIRE_INCARNATION, 0, G_MAXINT64, &heartbeat->incarnation)
      || !ft_field_count (body, FT_WIRE_SEQUENCE, 0, G_MAXINT64, &heartbeat->sequence)
      || !ft_field_count (body, FT_WIRE_FENCING_TOKEN, 0, G_MAXINT64, &heartbeat->token)
      || !read_tasks (json_object_get (body, FT_WIRE_TASKS), heartbeat->tasks))
    return NULL;
  if (!ft_field_is_null (body, FT_WIRE_INTERRUPTION_NOTICE)
      && !ft_field_amount (body, FT_WIRE_INTERRUPTION_NOTICE, 0, FT_AMOUNT_MAX, &heartbeat->notice_s))
    return NULL;
  return g_steal_pointer (&heartbeat);
}

static json_t *
command_list (const GArray *commands)
{
  json_t *list = json_array ();
  for (guint i = 0; commands != NULL && i < commands->len; i++) {
    const FtCommand *command = &g_array_index (commands, FtCommand, i);
    g_autofree char *task = g_strdup_printf ("%s/%u", command->job, command->index);
    json_t *item = json_pack ("{s:s, s:s, s:I}", FT_WIRE_COMMAND, command_words[command->op], FT_WIRE_TASK, task,
                              FT_WIRE_ATTEMPT, (json_int_t) command->attempt);
    if (command->op == FT_COMMAND_STOP)
      json_object_set_new (item, FT_WIRE_GRACE_PERIOD, json_real (command->grace_s));
    json_array_append_new (list, item);
  }
  return list;
}

json_t *
ft_message_answer (guint64 token, const GArray *commands)
{
  return json_pack ("{s:I, s:o}", FT_WIRE_FENCING_TOKEN, (json_int_t) token, FT_WIRE_COMMANDS, command_list (commands));
}

json_t *
ft_message_redirect (const char *leader)
{
  return leader != NULL ? json_pack ("{s:s}", FT_WIRE_LEADER, leader) : json_object ();
}

json_t *
ft_message_commands (guint64 token, guint64 incarnation, const GArray *commands)
{
  return json_pack ("{s:I, s:I, s:o}", FT_WIRE_FENCING_TOKEN, (json_int_t) token, FT_WIRE_INCARNATION,
                    (json_int_t) incarnation, FT_WIRE_COMMANDS, command_list (commands));
}
