#include "core/placement.h"

#include <math.h>

#include "core/attempt_lifecycle.h"
#include "core/placement_rank.h"

void
ft_placement_init (FtPlacement *placement)
{
  placement->order = g_ptr_array_new ();
  placement->waiting = g_ptr_array_new ();
  placement->next_attempt = 1;
}

void
ft_placement_clear (FtPlacement *placement)
{
  g_clear_pointer (&placement->order, g_ptr_array_unref);
  g_clear_pointer (&placement->waiting, g_ptr_array_unref);
}

guint
ft_placement_quota_left (const FtPlacement *placement, const FtTeam *team, const FtJobSpec *spec)
{
  FtUnseenCapacity unseen;
  ft_recovery_unreconciled (placement->recovery, &unseen.cpus, &unseen.gpus);
  return ft_quota_count (team, spec, &unseen);
}

static gboolean
wants_placing (const FtPlacement *placement, const FtJob *job)
{
  return job->state == FT_JOB_OPEN && job->counts[FT_TASK_QUEUED] > 0 && job->not_before <= placement->context->now;
}

static void
collect (FtPlacement *placement)
{
  GHashTableIter it;
  gpointer value;
  g_ptr_array_set_size (placement->order, 0);
  g_hash_table_iter_init (&it, placement->job_table->jobs);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    FtJob *job = value;
    if (job->state != FT_JOB_OPEN || job->team == NULL)
      continue;
    ft_placement_rank_refresh (job, placement->context->now);
    g_ptr_array_add (placement->order, job);
  }
  placement->context->looked_at += placement->order->len;
  ft_quota_mark_guaranteed (placement->quota, placement->order);
  g_ptr_array_sort (placement->order, ft_placement_rank_jobs);
  g_ptr_array_set_size (placement->waiting, 0);
  for (guint i = 0; i < placement->order->len; i++)
    if (wants_placing (placement, g_ptr_array_index (placement->order, i)))
      g_ptr_array_add (placement->waiting, g_ptr_array_index (placement->order, i));
}

static guint
next_queued (FtJob *job, gint64 now)
{
  guint i = job->scan_from;
  while (i < job->spec->tasks && job->tasks[i].state != FT_TASK_QUEUED)
    i++;
  job->scan_from = i;
  while (i < job->spec->tasks && !(job->tasks[i].state == FT_TASK_QUEUED && job->tasks[i].not_before <= now))
    i++;
  return i;
}

/* Where the job's tasks are now, for one_zone and spread. */
typedef struct {
  const char *zone;       /* zone of a live task, NULL if none */
  GHashTable *zone_count; /* zone -> live tasks */
} Whereabouts;

static void
find_whereabouts (const FtJob *job, Whereabouts *whereabouts)
{
  whereabouts->zone_count = g_hash_table_new (g_str_hash, g_str_equal);
  whereabouts->zone = NULL;
  if (!job->spec->one_zone && !job->spec->spread)
    return; /* nobody asks, and a job may have very many tasks */
  for (guint i = 0; i < job->spec->tasks; i++) {
    const FtAttempt *attempt = job->tasks[i].attempt;
    if (attempt == NULL || !attempt->reserved)
      continue;
    whereabouts->zone = attempt->machine->zone;
    guint n = GPOINTER_TO_UINT (g_hash_table_lookup (whereabouts->zone_count, whereabouts->zone));
    g_hash_table_insert (whereabouts->zone_count, attempt->machine->zone, GUINT_TO_POINTER (n + 1));
  }
}

static gboolean
zone_allowed (const FtJob *job, const Whereabouts *whereabouts, const FtMachine *machine)
{
  if (job->spec->one_zone && whereabouts->zone != NULL && g_strcmp0 (whereabouts->zone, machine->zone) != 0)
    return FALSE;
  if (!job->spec->spread)
    return TRUE;
  guint here = GPOINTER_TO_UINT (g_hash_table_lookup (whereabouts->zone_count, machine->zone));
  return here + 1 <= (job->spec->tasks + 1) / 2;
}

/* A task keeps off the machine where it failed, for a while only: it may be
 * the only one that is allowed. */
static gboolean
avoided (const FtPlacement *placement, const FtTask *task, const FtMachine *machine)
{
  return task->avoid == machine && placement->context->now < task->not_before + ft_seconds (FT_AVOID_S);
}

static gboolean
candidate (const FtPlacement *placement, const FtJob *job, const FtTask *task, const Whereabouts *whereabouts,
           const FtMachine *machine)
{
  return ft_machine_usable (machine) && ft_machine_allowed (machine, job->spec) && !avoided (placement, task, machine)
         && zone_allowed (job, whereabouts, machine) && ft_machine_room (machine, job->spec) > 0;
}

/* Room for a kind of task that a pass has looked for everywhere in vain: what
 * needs as much, and may go nowhere else, need not look again. */
typedef struct {
  GPtrArray *machines;                   /* with room for something */
  const FtJobSpec *full[FT_FULL_SHAPES]; /* borrowed from open jobs */
  guint n_full;
} Pass;

static gboolean
covers (const FtJobSpec *full, const FtJobSpec *spec)
{
  return spec->cpus >= full->cpus && spec->gpus >= full->gpus && spec->memory_gb >= full->memory_gb
         && full->types == NULL && (full->zone == NULL || g_strcmp0 (full->zone, spec->zone) == 0)
         && (full->spot || !spec->spot);
}

static gboolean
known_full (const Pass *pass, const FtJobSpec *spec)
{
  for (guint i = 0; i < pass->n_full; i++)
    if (covers (pass->full[i], spec))
      return TRUE;
  return FALSE;
}

static FtMachine *
pick (FtPlacement *placement, const FtJob *job, const FtTask *task, const Whereabouts *whereabouts, Pass *pass)
{
  FtMachine *best = NULL;
  double best_score = INFINITY;
  guint seen = 0;
  if (known_full (pass, job->spec))
    return NULL;
  double spot_delay_s = ft_spot_risk_delay_s (placement->spot_risk, job->spec);
  guint n = pass->machines->len,
        start = n > 0 ? (guint) g_rand_int_range (placement->context->random, 0, (gint32) n) : 0;
  for (guint i = 0; i < n && seen < placement->context->tuning.sample_size; i++) {
    FtMachine *machine = g_ptr_array_index (pass->machines, (start + i) % n);
    placement->context->looked_at++;
    if (!candidate (placement, job, task, whereabouts, machine))
      continue;
    seen++;
    double value = ft_placement_rank_machine (machine, job, spot_delay_s);
    if (value < best_score) {
      best_score = value;
      best = machine;
    }
  }
  gboolean plain = !job->spec->one_zone && !job->spec->spread && task->avoid == NULL;
  if (best == NULL && plain && pass->n_full < FT_FULL_SHAPES)
    pass->full[pass->n_full++] = job->spec;
  return best;
}

/* Attempt numbers rise with the token, so across leaders. */
static guint64
next_attempt (FtPlacement *placement)
{
  return (placement->context->token << FT_ATTEMPT_BITS) + placement->next_attempt++;
}

/* A task is sent once the job's dispatch watermark lies beyond it. Raised with some reserve: one
 * write covers many tasks that are placed one by one. */
static void
raise_watermark (FtJob *job, guint index)
{
  guint tasks = job->spec->tasks;
  if (index < job->spec->dispatch_watermark || index < job->wanted_watermark)
    return;
  guint reserve = job->spec->dispatch_watermark > 0 ? MAX (FT_WATERMARK_STEP, tasks / 4) : 1;
  job->wanted_watermark = MIN (tasks, MAX (index + 1, job->spec->dispatch_watermark + reserve));
  ft_job_queue_write (job);
}

static void
place (FtPlacement *placement, FtJob *job, guint index, FtMachine *machine, guint64 id)
{
  FtAttempt *attempt = ft_attempt_new (machine, job, job->spec->ref, index, id);
  ft_attempt_reserve (attempt);
  ft_attempt_bind (attempt, FT_TASK_STARTING);
  attempt->placed_at = placement->context->now;
  attempt->placed_pass = placement->pass;
  raise_watermark (job, index);
  ft_machine_queue_direct (machine);
  g_message ("task %s/%u: placed on %s attempt %" G_GUINT64_FORMAT, job->spec->ref, index, machine->name, id);
}

/* TRUE if the gang can be placed whole. What is left of a gang that has lost a task can only end: it is stopped, and
 * the gang starts again whole. */
static gboolean
gang_ready (FtPlacement *placement, FtJob *job)
{
  guint unfinished = job->spec->tasks - ft_job_finished (job);
  if (job->counts[FT_TASK_QUEUED] == unfinished)
    return ft_placement_quota_left (placement, job->team, job->spec) >= unfinished;
  if (job->counts[FT_TASK_UNKNOWN] > 0 || job->spec->kind == FT_KIND_SERVICE)
    return FALSE;
  for (guint i = 0; i < job->spec->tasks; i++) {
    FtAttempt *attempt = job->tasks[i].attempt;
    if (attempt != NULL && !ft_attempt_has_exited (attempt))
      ft_attempt_want_stop (attempt, job->spec->checkpoint_s > 0 ? job->spec->save_s : 0);
  }
  return FALSE;
}

/* Takes back what this pass placed of a gang that did not fit whole; none of
 * it has left the process. */
static void
take_back (FtPlacement *placement, FtJob *job)
{
  for (guint i = 0; i < job->spec->tasks; i++) {
    FtAttempt *attempt = job->tasks[i].attempt;
    if (attempt != NULL && attempt->placed_pass == placement->pass)
      ft_attempt_end (attempt);
  }
}

/* Puts tasks of the job on the machine while both have more and the team may. */
static guint
place_on (FtPlacement *placement, FtJob *job, FtMachine *machine, guint most)
{
  guint placed = 0;
  while (placed < most && ft_machine_room (machine, job->spec) > 0
         && ft_placement_quota_left (placement, job->team, job->spec) > 0) {
    guint index = next_queued (job, placement->context->now);
    if (index >= job->spec->tasks || avoided (placement, &job->tasks[index], machine))
      break;
    place (placement, job, index, machine, next_attempt (placement));
    placed++;
  }
  return placed;
}

/* An array: whatever fits, machine by machine. Tasks of a job that share a
 * machine share the fetch of their image and one command. */
static guint
place_array (FtPlacement *placement, FtJob *job, Pass *pass)
{
  Whereabouts whereabouts;
  guint placed = 0;
  gboolean zoned = job->spec->one_zone || job->spec->spread;
  /* Unknown tasks could be in any zone: wait until they are found. */
  if (zoned && job->counts[FT_TASK_UNKNOWN] > 0)
    return 0;
  find_whereabouts (job, &whereabouts);
  while (placed < FT_PASS_TASKS && ft_placement_quota_left (placement, job->team, job->spec) > 0) {
    guint index = next_queued (job, placement->context->now);
    if (index >= job->spec->tasks)
      break;
    FtMachine *machine = pick (placement, job, &job->tasks[index], &whereabouts, pass);
    if (machine == NULL) {
      job->no_room_pass = placement->pass;
      break;
    }
    guint n = place_on (placement, job, machine, zoned ? 1 : FT_PASS_TASKS - placed);
    if (n == 0)
      break;
    placed += n;
    if (zoned) {
      g_hash_table_unref (whereabouts.zone_count);
      find_whereabouts (job, &whereabouts);
    }
  }
  g_hash_table_unref (whereabouts.zone_count);
  return placed;
}

/* A gang: all of it or nothing, under one attempt number. */
static guint
place_whole (FtPlacement *placement, FtJob *job, Pass *pass)
{
  Whereabouts whereabouts;
  guint placed = 0;
  if (!gang_ready (placement, job))
    return 0;
  guint64 id = next_attempt (placement);
  for (;;) {
    guint index = next_queued (job, placement->context->now);
    if (index >= job->spec->tasks || ft_placement_quota_left (placement, job->team, job->spec) == 0)
      break;
    find_whereabouts (job, &whereabouts);
    FtMachine *machine = pick (placement, job, &job->tasks[index], &whereabouts, pass);
    g_hash_table_unref (whereabouts.zone_count);
    if (machine == NULL) {
      job->no_room_pass = placement->pass;
      break;
    }
    place (placement, job, index, machine, id);
    placed++;
  }
  if (job->counts[FT_TASK_QUEUED] == 0)
    return placed;
  take_back (placement, job);
  return 0;
}

static guint
place_job (FtPlacement *placement, FtJob *job, Pass *pass)
{
  return job->spec->kind == FT_KIND_GANG ? place_whole (placement, job, pass) : place_array (placement, job, pass);
}

static void
find_machines (FtPlacement *placement, Pass *pass)
{
  GHashTableIter it;
  gpointer value;
  pass->machines = g_ptr_array_sized_new (g_hash_table_size (placement->machine_table->machines));
  g_hash_table_iter_init (&it, placement->machine_table->machines);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    const FtMachine *machine = value;
    if (ft_machine_usable (machine) && machine->cpus < machine->type->cpus
        && machine->memory_gb < machine->type->memory_gb)
      g_ptr_array_add (pass->machines, value);
  }
  placement->context->looked_at += g_hash_table_size (placement->machine_table->machines);
}

void
ft_placement_pass (FtPlacement *placement)
{
  Pass pass = { 0 };
  placement->context->placement_due = FALSE;
  placement->pass++;
  placement->next_pass = placement->context->now + ft_seconds (FT_PASS_EVERY_S);
  collect (placement);
  if (!placement->context->may_start || !ft_recovery_is_loaded (placement->recovery) || placement->waiting->len == 0)
    return;
  find_machines (placement, &pass);
  guint placed = 0, preempting = placement->context->now >= placement->next_preempt ? 0 : FT_PREEMPT_JOBS;
  for (guint i = 0; i < placement->waiting->len && placed < FT_PASS_TASKS; i++) {
    FtJob *job = g_ptr_array_index (placement->waiting, i);
    placed += place_job (placement, job, &pass);
    if (job->no_room_pass == placement->pass && job->counts[FT_TASK_QUEUED] > 0 && preempting < FT_PREEMPT_JOBS) {
      ft_preempt_for (placement->preemption, job, ft_placement_quota_left (placement, job->team, job->spec));
      preempting++;
      placement->next_preempt = placement->context->now + ft_seconds (FT_PREEMPT_EVERY_S);
    }
  }
  g_ptr_array_unref (pass.machines);
  ft_preempt_end_pass (placement->preemption);
  if (placed >= FT_PASS_TASKS)
    placement->context->placement_due = TRUE;
}

void
ft_placement_fill (FtPlacement *placement, FtMachine *machine)
{
  if (!placement->context->may_start || !ft_recovery_is_loaded (placement->recovery) || !ft_machine_usable (machine))
    return;
  for (guint i = 0, looked = 0; i < placement->waiting->len && looked < FT_FILL_JOBS; i++) {
    FtJob *job = g_ptr_array_index (placement->waiting, i);
    if (!wants_placing (placement, job))
      continue;
    looked++;
    placement->context->looked_at++;
    gboolean plain = job->spec->kind != FT_KIND_GANG && !job->spec->one_zone && !job->spec->spread;
    if (plain && ft_machine_allowed (machine, job->spec))
      place_on (placement, job, machine, FT_PASS_TASKS);
  }
}

void
ft_placement_forget (FtPlacement *placement, FtJob *job)
{
  g_ptr_array_remove (placement->order, job);
  g_ptr_array_remove (placement->waiting, job);
}
