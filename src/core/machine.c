#include "core/scheduler_private.h"

static const char *const names[] = { "booting", "up", "silent", "returning", "gone" };

static void
attempt_free (FtAttempt *attempt)
{
  if (attempt->job != NULL)
    g_hash_table_remove (attempt->job->attempts, attempt);
  g_free (attempt->job_ref);
  g_free (attempt);
}

/* The tasks of a gang start under one attempt number, several of them perhaps
 * on one machine: an attempt is known by its number and its task. */
static guint
attempt_hash (gconstpointer key)
{
  const FtAttempt *attempt = key;
  return (guint) attempt->id * 31u + attempt->index;
}

static gboolean
attempt_equal (gconstpointer x, gconstpointer y)
{
  const FtAttempt *attempt = x, *b = y;
  return attempt->id == b->id && attempt->index == b->index && g_strcmp0 (attempt->job_ref, b->job_ref) == 0;
}

FtAttempt *
ft_machine_attempt (const FtMachine *machine, const char *ref, guint index, guint64 id)
{
  const FtAttempt key = { .id = id, .index = index, .job_ref = (char *) ref };
  return g_hash_table_lookup (machine->attempts, &key);
}

FtMachine *
ft_machine_new (FtScheduler *scheduler, const char *name, const char *addr, const char *type, const char *zone,
                gboolean spot)
{
  FtMachine *machine = g_new0 (FtMachine, 1);
  machine->scheduler = scheduler;
  machine->name = g_strdup (name);
  machine->addr = g_strdup (addr);
  machine->type_name = g_strdup (type);
  machine->zone = g_strdup (zone);
  machine->zone_view = ft_zone_get (scheduler->machine_table.zones, zone);
  machine->spot = spot;
  machine->type = ft_catalog_find (scheduler->context.catalog, type);
  machine->launched_at = machine->idle_since = scheduler->context.now;
  machine->drained = g_hash_table_contains (scheduler->machine_table.drained, name);
  machine->attempts = g_hash_table_new_full (attempt_hash, attempt_equal, NULL, (GDestroyNotify) attempt_free);
  machine->images = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return machine;
}

void
ft_machine_set_reconciled (FtMachine *machine)
{
  FtScheduler *scheduler = machine->scheduler;
  if (machine->reconciled)
    return;
  machine->reconciled = TRUE;
  scheduler->context.placement_due = TRUE;
  ft_recovery_machine_reconciled (&scheduler->recovery, machine);
}

void
ft_machine_queue_direct (FtMachine *machine)
{
  if (machine->direct_queued || machine->state == FT_MACHINE_GONE)
    return;
  machine->direct_queued = TRUE;
  g_queue_push_tail (&machine->scheduler->command_queue.directs, machine);
}

void
ft_machine_queue_probe (FtMachine *machine)
{
  if (machine->probe_queued || machine->state == FT_MACHINE_GONE)
    return;
  machine->probe_queued = TRUE;
  g_queue_push_tail (&machine->scheduler->command_queue.probes, machine);
}

void
ft_machine_free (FtMachine *machine)
{
  if (machine->probe_queued)
    g_queue_remove (&machine->scheduler->command_queue.probes, machine);
  if (machine->direct_queued)
    g_queue_remove (&machine->scheduler->command_queue.directs, machine);
  g_hash_table_unref (machine->attempts);
  g_hash_table_unref (machine->images);
  g_free (machine->name);
  g_free (machine->addr);
  g_free (machine->type_name);
  g_free (machine->zone);
  g_free (machine);
}

const char *
ft_machine_state_name (FtMachineState state)
{
  return names[state];
}

/* The one place where a machine's state changes. */
gboolean
ft_machine_set_state (FtMachine *machine, FtMachineState to)
{
  FtMachineState from = machine->state;
  if (from == to)
    return TRUE;
  /* What is being returned comes back to no other state; gone is the end. */
  if (from == FT_MACHINE_GONE || (from == FT_MACHINE_TERMINATING && to != FT_MACHINE_GONE)
      || to == FT_MACHINE_BOOTING) {
    g_warning ("machine %s: refused move %s -> %s", machine->name, names[from], names[to]);
    return FALSE;
  }
  g_message ("machine %s: %s -> %s", machine->name, names[from], names[to]);
  machine->state = to;
  if (to == FT_MACHINE_TERMINATING)
    g_queue_push_tail (&machine->scheduler->autoscaler.terminating, machine);
  return TRUE;
}

gboolean
ft_machine_usable (const FtScheduler *scheduler, const FtMachine *machine)
{
  return machine->state == FT_MACHINE_UP && machine->registered && machine->reconciled && machine->acknowledged_token
         && !ft_machine_not_receiving (machine) && !ft_machine_not_reporting (scheduler, machine)
         && machine->type != NULL && !machine->drained && !machine->quarantined && machine->notice_until == 0
         && machine->incarnation > machine->expired_incarnation
         && scheduler->context.now - machine->last_status_at
                < (gint64) ((scheduler->context.settings->heartbeat_s * FT_HEARTBEAT_GAP + FT_USABLE_MARGIN_S)
                            * FT_SECOND);
}

/* Its heartbeats come, but neither answers nor commands seem to reach it. */
gboolean
ft_machine_not_receiving (const FtMachine *machine)
{
  return machine->not_receiving_since > 0;
}

gint64
ft_machine_lease_us (const FtScheduler *scheduler)
{
  return (gint64) ((scheduler->context.settings->lease_s * (1 + FT_CLOCK_DRIFT) + FT_WORKER_LEASE_MARGIN_S)
                   * FT_SECOND);
}

gint64
ft_machine_silence_us (const FtScheduler *scheduler)
{
  return (
      gint64) ((scheduler->context.settings->heartbeat_s * FT_HEARTBEAT_GAP + FT_WORKER_TIMEOUT_S + FT_SILENCE_MARGIN_S)
               * FT_SECOND);
}

gint64
ft_machine_overdue_us (const FtScheduler *scheduler)
{
  return (gint64) ((scheduler->context.settings->heartbeat_s * FT_HEARTBEAT_GAP + FT_OVERDUE_MARGIN_S) * FT_SECOND);
}

gint64
ft_machine_no_heartbeat_since (const FtScheduler *scheduler, const FtMachine *machine)
{
  return MAX (machine->last_heartbeat_at, MAX (scheduler->context.on_time_since, scheduler->context.answering_since));
}

/* Commands reach it, but its heartbeats reach nobody: whatever is started there dies with
 * its lease. Counted from its own heartbeats alone, while we were there to answer them. */
gboolean
ft_machine_not_reporting (const FtScheduler *scheduler, const FtMachine *machine)
{
  return machine->state == FT_MACHINE_UP
         && scheduler->context.now - ft_machine_no_heartbeat_since (scheduler, machine)
                > ft_machine_silence_us (scheduler);
}

gboolean
ft_machine_allowed (const FtMachine *machine, const FtJobSpec *spec)
{
  if (machine->spot && !spec->spot)
    return FALSE;
  if (spec->types != NULL && !g_strv_contains ((const char *const *) spec->types, machine->type_name))
    return FALSE;
  return spec->zone == NULL || g_strcmp0 (spec->zone, machine->zone) == 0;
}

static guint
fits (double free_amount, double each)
{
  if (each <= 0)
    return G_MAXUINT16;
  return free_amount <= 0 ? 0 : (guint) MIN (free_amount / each + 1e-6, G_MAXUINT16);
}

/* How many tasks of this kind the machine has room for. */
guint
ft_machine_room (const FtMachine *machine, const FtJobSpec *spec)
{
  const FtMachineType *type = machine->type;
  if (type == NULL)
    return 0;
  guint n = fits (type->cpus - machine->cpus, spec->cpus);
  n = MIN (n, fits (type->memory_gb - machine->memory_gb, spec->memory_gb));
  return MIN (n, fits (type->gpus - machine->gpus, spec->gpus));
}

/* TRUE if nothing is, or may still come to be, on the machine. */
gboolean
ft_machine_idle (const FtMachine *machine)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, machine->attempts);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    const FtAttempt *attempt = value;
    /* A finished task whose result is not committed needs its machine too. */
    if (!attempt->exited || (attempt->job != NULL && attempt->bound))
      return FALSE;
  }
  return TRUE;
}

FtAttempt *
ft_attempt_new (FtMachine *machine, FtJob *job, const char *ref, guint index, guint64 id)
{
  FtAttempt *attempt = g_new0 (FtAttempt, 1);
  attempt->id = id;
  attempt->job = job;
  attempt->job_ref = g_strdup (ref);
  attempt->index = index;
  attempt->machine = machine;
  attempt->incarnation = machine->incarnation;
  if (job != NULL) {
    attempt->team = job->team;
    attempt->cpus = job->spec->cpus;
    attempt->gpus = job->spec->gpus;
    attempt->memory_gb = job->spec->memory_gb;
  }
  g_hash_table_insert (machine->attempts, attempt, attempt);
  if (job != NULL)
    g_hash_table_add (job->attempts, attempt);
  return attempt;
}

static void
count (FtAttempt *attempt, double sign)
{
  attempt->machine->cpus += sign * attempt->cpus;
  attempt->machine->gpus += sign * attempt->gpus;
  attempt->machine->memory_gb += sign * attempt->memory_gb;
  if (attempt->team != NULL) {
    attempt->team->cpus += sign * attempt->cpus;
    attempt->team->gpus += sign * attempt->gpus;
  }
}

void
ft_attempt_reserve (FtAttempt *attempt)
{
  if (!attempt->reserved)
    count (attempt, 1);
  attempt->reserved = TRUE;
}

void
ft_attempt_release (FtAttempt *attempt)
{
  if (attempt->reserved)
    count (attempt, -1);
  attempt->reserved = FALSE;
}

void
ft_attempt_bind (FtAttempt *attempt, FtTaskState state)
{
  FtTask *task = &attempt->job->tasks[attempt->index];
  g_return_if_fail (task->attempt == NULL);
  if (!ft_task_set_state (attempt->job, attempt->index, state))
    return;
  task->attempt = attempt;
  attempt->bound = TRUE;
}

static void
unbind (FtAttempt *attempt)
{
  if (!attempt->bound)
    return;
  FtJob *job = attempt->job;
  FtTask *task = &job->tasks[attempt->index];
  attempt->bound = FALSE;
  task->attempt = NULL;
  if (task->state == FT_TASK_FINISHED || task->state == FT_TASK_DONE)
    return;
  ft_task_set_state (job, attempt->index, job->state < FT_JOB_CANCELLING ? FT_TASK_QUEUED : FT_TASK_CANCELLED);
}

void
ft_attempt_want_stop (FtAttempt *attempt, double grace_s)
{
  if (attempt->stop_wanted && attempt->grace_s <= grace_s)
    return;
  attempt->stop_wanted = TRUE;
  attempt->stop_sent = FALSE;
  attempt->grace_s = grace_s;
  ft_machine_queue_direct (attempt->machine);
}

void
ft_attempt_end (FtScheduler *scheduler, FtAttempt *attempt)
{
  FtMachine *machine = attempt->machine;
  ft_attempt_release (attempt);
  unbind (attempt);
  scheduler->context.placement_due = TRUE;
  if (ft_machine_idle (machine))
    machine->idle_since = scheduler->context.now;
  if (!(attempt->exited && attempt->listed))
    g_hash_table_remove (machine->attempts, attempt);
}

/* Everything that ran in the incarnations so far is over. */
void
ft_machine_end_incarnation (FtScheduler *scheduler, FtMachine *machine)
{
  g_autoptr (GList) all = g_hash_table_get_values (machine->attempts);
  for (GList *link = all; link != NULL; link = link->next) {
    FtAttempt *attempt = link->data;
    attempt->listed = FALSE;
    ft_attempt_end (scheduler, attempt);
  }
  machine->expired_incarnation = MAX (machine->expired_incarnation, machine->incarnation);
}

void
ft_machine_gone (FtScheduler *scheduler, FtMachine *machine, const char *why)
{
  g_message ("machine %s: gone (%s)", machine->name, why);
  ft_machine_end_incarnation (scheduler, machine);
  ft_machine_set_reconciled (machine);
  g_queue_remove (&scheduler->autoscaler.terminating, machine);
  ft_machine_set_state (machine, FT_MACHINE_GONE);
  g_hash_table_add (scheduler->machine_table.gone, g_strdup (machine->name));
  ft_registry_remove (&scheduler->registry, machine);
  scheduler->context.placement_due = TRUE;
}
