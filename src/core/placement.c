/* Places queued tasks: best fit among a few sampled machines with room, all
 * machines scanned if none of the sample has any. */
#include "core/scheduler_private.h"

#include <math.h>

static gint
by_urgency (gconstpointer a, gconstpointer b)
{
  const FtJob *job = *(FtJob *const *) a, *y = *(FtJob *const *) b;
  if (job->starved != y->starved)
    return job->starved ? -1 : 1;
  if (job->guaranteed != y->guaranteed)
    return job->guaranteed ? -1 : 1;
  if (job->priority != y->priority)
    return job->priority > y->priority ? -1 : 1;
  if (job->too_late != y->too_late)
    return job->too_late ? 1 : -1;
  gint64 dx = job->deadline_at ? job->deadline_at : G_MAXINT64, dy = y->deadline_at ? y->deadline_at : G_MAXINT64;
  if (dx != dy)
    return dx < dy ? -1 : 1;
  return job->revision < y->revision ? -1 : job->revision > y->revision;
}

/* In overload, earliest deadline first makes every job late. What cannot be in
 * time any more lets pass what still can, for a bounded time. */
static gboolean
too_late (const FtScheduler *scheduler, const FtJob *job)
{
  if (job->deadline_at == 0)
    return FALSE;
  gint64 dependencies = (gint64) (job->spec->estimate_s * FT_TOO_LATE_SHARE * FT_SECOND);
  gint64 patience = (gint64) (FT_TOO_LATE_PATIENCE * (double) (job->deadline_at - job->accepted_at));
  return scheduler->context.now + dependencies > job->deadline_at
         && scheduler->context.now < job->deadline_at + patience;
}

static gboolean
wants_placing (const FtScheduler *scheduler, const FtJob *job)
{
  return job->state == FT_JOB_OPEN && job->counts[FT_TASK_QUEUED] > 0 && job->not_before <= scheduler->context.now;
}

static void
collect (FtScheduler *scheduler)
{
  GHashTableIter it;
  gpointer value;
  g_ptr_array_set_size (scheduler->placement.order, 0);
  g_hash_table_iter_init (&it, scheduler->job_table.jobs);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    FtJob *job = value;
    if (job->state != FT_JOB_OPEN || job->team == NULL)
      continue;
    job->too_late = too_late (scheduler, job);
    /* Whatever the order is, nothing waits for ever to begin: not what is too late
     * for its deadline, not the largest jobs of a class. */
    job->starved = !job->begun && scheduler->context.now - job->ready_at > (gint64) (FT_STARVED_AFTER_S * FT_SECOND);
    g_ptr_array_add (scheduler->placement.order, job);
  }
  scheduler->context.looked_at += scheduler->placement.order->len;
  ft_quota_mark_guaranteed (scheduler);
  g_ptr_array_sort (scheduler->placement.order, by_urgency);
  g_ptr_array_set_size (scheduler->placement.waiting, 0);
  for (guint i = 0; i < scheduler->placement.order->len; i++)
    if (wants_placing (scheduler, g_ptr_array_index (scheduler->placement.order, i)))
      g_ptr_array_add (scheduler->placement.waiting, g_ptr_array_index (scheduler->placement.order, i));
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
    const FtAttempt *a = job->tasks[i].attempt;
    if (a == NULL || !a->reserved)
      continue;
    whereabouts->zone = a->machine->zone;
    guint n = GPOINTER_TO_UINT (g_hash_table_lookup (whereabouts->zone_count, whereabouts->zone));
    g_hash_table_insert (whereabouts->zone_count, a->machine->zone, GUINT_TO_POINTER (n + 1));
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

/* Smaller is better: seconds until the task could start, then the room left and what the
 * machine's kind is expected to cost. */
static double
score (const FtMachine *machine, const FtJob *job, double spot_delay_s)
{
  const FtJobSpec *spec = job->spec;
  double wait = 0;
  if (!g_hash_table_contains (machine->images, spec->image)) {
    wait = spec->image_gb / MAX (machine->type->fetch_gb_per_s, 1e-3);
    GHashTableIter it;
    gpointer value;
    g_hash_table_iter_init (&it, machine->attempts);
    while (g_hash_table_iter_next (&it, NULL, &value)) {
      const FtAttempt *attempt = value;
      if (attempt->reserved && !attempt->running && attempt->job != NULL
          && g_strcmp0 (attempt->job->spec->image, spec->image) == 0) {
        wait *= FT_SCORE_FETCHING; /* another task fetches it already */
        break;
      }
    }
  }
  double left = (machine->type->cpus - machine->cpus - spec->cpus) / machine->type->cpus;
  /* Work that need not begin at once is packed, so that machines come free whole,
   * the dear ones first. */
  double pack = job->priority < FT_PRIORITY_HIGH ? FT_SCORE_PACK : 1;
  double kind = machine->spot ? spot_delay_s : pack * FT_SCORE_ORDINARY_S;
  return wait + pack * FT_SCORE_LEFT_S * left + kind;
}

/* A task keeps off the machine where it failed, for a while only: it may be
 * the only one that is allowed. */
static gboolean
avoided (const FtScheduler *scheduler, const FtTask *task, const FtMachine *machine)
{
  return task->avoid == machine && scheduler->context.now < task->not_before + (gint64) (FT_AVOID_S * FT_SECOND);
}

static gboolean
candidate (const FtScheduler *scheduler, const FtJob *job, const FtTask *task, const Whereabouts *whereabouts,
           const FtMachine *machine)
{
  return ft_machine_usable (scheduler, machine) && ft_machine_allowed (machine, job->spec)
         && !avoided (scheduler, task, machine) && zone_allowed (job, whereabouts, machine)
         && ft_machine_room (machine, job->spec) > 0;
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
pick (FtScheduler *scheduler, const FtJob *job, const FtTask *task, const Whereabouts *whereabouts, Pass *pass)
{
  FtMachine *best = NULL;
  double best_score = INFINITY;
  guint seen = 0;
  if (known_full (pass, job->spec))
    return NULL;
  double spot_delay_s = ft_spot_risk_delay_s (&scheduler->autoscaler.spot_risk, job->spec);
  guint n = pass->machines->len,
        start = n > 0 ? (guint) g_rand_int_range (scheduler->context.random, 0, (gint32) n) : 0;
  for (guint i = 0; i < n && seen < scheduler->context.tuning.sample_size; i++) {
    FtMachine *machine = g_ptr_array_index (pass->machines, (start + i) % n);
    scheduler->context.looked_at++;
    if (!candidate (scheduler, job, task, whereabouts, machine))
      continue;
    seen++;
    double value = score (machine, job, spot_delay_s);
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
next_attempt (FtScheduler *scheduler)
{
  return (scheduler->context.token << FT_ATTEMPT_BITS) + scheduler->placement.next_attempt++;
}

/* A task is sent once the job's mark lies beyond it. Raised with some reserve: one
 * change covers many tasks that are placed one by one. */
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
place (FtScheduler *scheduler, FtJob *job, guint index, FtMachine *machine, guint64 id)
{
  FtAttempt *attempt = ft_attempt_new (machine, job, job->spec->ref, index, id);
  ft_attempt_reserve (attempt);
  ft_attempt_bind (attempt, FT_TASK_STARTING);
  attempt->placed_at = scheduler->context.now;
  attempt->placed_pass = scheduler->placement.pass;
  raise_watermark (job, index);
  ft_machine_queue_direct (machine);
  g_message ("task %s/%u: placed on %s attempt %" G_GUINT64_FORMAT, job->spec->ref, index, machine->name, id);
}

/* What is left of a gang that has lost a task can only end: it is stopped, and
 * the gang starts again whole. */
static gboolean
gang_ready (FtScheduler *scheduler, FtJob *job)
{
  guint unfinished = job->spec->tasks - ft_job_finished (job);
  if (job->counts[FT_TASK_QUEUED] == unfinished)
    return ft_quota_count (scheduler, job->team, job->spec) >= unfinished;
  if (job->counts[FT_TASK_UNKNOWN] > 0 || job->spec->kind == FT_KIND_SERVICE)
    return FALSE;
  for (guint i = 0; i < job->spec->tasks; i++) {
    FtAttempt *a = job->tasks[i].attempt;
    if (a != NULL && !a->exited)
      ft_attempt_want_stop (a, job->spec->checkpoint_s > 0 ? job->spec->save_s : 0);
  }
  return FALSE;
}

/* Takes back what this pass placed of a gang that did not fit whole; none of
 * it has left the process. */
static void
take_back (FtScheduler *scheduler, FtJob *job)
{
  for (guint i = 0; i < job->spec->tasks; i++) {
    FtAttempt *a = job->tasks[i].attempt;
    if (a != NULL && a->placed_pass == scheduler->placement.pass)
      ft_attempt_end (scheduler, a);
  }
}

/* Puts tasks of the job on the machine while both have more and the team may. */
static guint
place_on (FtScheduler *scheduler, FtJob *job, FtMachine *machine, guint most)
{
  guint placed = 0;
  while (placed < most && ft_machine_room (machine, job->spec) > 0
         && ft_quota_allows (scheduler, job->team, job->spec)) {
    guint index = next_queued (job, scheduler->context.now);
    if (index >= job->spec->tasks || avoided (scheduler, &job->tasks[index], machine))
      break;
    place (scheduler, job, index, machine, next_attempt (scheduler));
    placed++;
  }
  return placed;
}

/* An array: whatever fits, machine by machine. Tasks of a job that share a
 * machine share the fetch of their image and one command. */
static guint
place_array (FtScheduler *scheduler, FtJob *job, Pass *pass)
{
  Whereabouts w;
  guint placed = 0;
  gboolean zoned = job->spec->one_zone || job->spec->spread;
  /* Unknown tasks could be in any zone: wait until they are found. */
  if (zoned && job->counts[FT_TASK_UNKNOWN] > 0)
    return 0;
  find_whereabouts (job, &w);
  while (placed < FT_PASS_TASKS && ft_quota_allows (scheduler, job->team, job->spec)) {
    guint index = next_queued (job, scheduler->context.now);
    if (index >= job->spec->tasks)
      break;
    FtMachine *machine = pick (scheduler, job, &job->tasks[index], &w, pass);
    if (machine == NULL) {
      job->no_room_pass = scheduler->placement.pass;
      break;
    }
    guint n = place_on (scheduler, job, machine, zoned ? 1 : FT_PASS_TASKS - placed);
    if (n == 0)
      break;
    placed += n;
    if (zoned) {
      g_hash_table_unref (w.zone_count);
      find_whereabouts (job, &w);
    }
  }
  g_hash_table_unref (w.zone_count);
  return placed;
}

/* A gang: all of it or nothing, under one attempt number. */
static guint
place_whole (FtScheduler *scheduler, FtJob *job, Pass *pass)
{
  Whereabouts w;
  guint placed = 0;
  if (!gang_ready (scheduler, job))
    return 0;
  guint64 id = next_attempt (scheduler);
  for (;;) {
    guint index = next_queued (job, scheduler->context.now);
    if (index >= job->spec->tasks || !ft_quota_allows (scheduler, job->team, job->spec))
      break;
    find_whereabouts (job, &w);
    FtMachine *machine = pick (scheduler, job, &job->tasks[index], &w, pass);
    g_hash_table_unref (w.zone_count);
    if (machine == NULL) {
      job->no_room_pass = scheduler->placement.pass;
      break;
    }
    place (scheduler, job, index, machine, id);
    placed++;
  }
  if (job->counts[FT_TASK_QUEUED] == 0)
    return placed;
  take_back (scheduler, job);
  return 0;
}

static guint
place_job (FtScheduler *scheduler, FtJob *job, Pass *pass)
{
  return job->spec->kind == FT_KIND_GANG ? place_whole (scheduler, job, pass) : place_array (scheduler, job, pass);
}

static void
find_machines (FtScheduler *scheduler, Pass *pass)
{
  GHashTableIter it;
  gpointer value;
  pass->machines = g_ptr_array_sized_new (g_hash_table_size (scheduler->machine_table.machines));
  g_hash_table_iter_init (&it, scheduler->machine_table.machines);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    const FtMachine *machine = value;
    if (ft_machine_usable (scheduler, machine) && machine->cpus < machine->type->cpus
        && machine->memory_gb < machine->type->memory_gb)
      g_ptr_array_add (pass->machines, value);
  }
  scheduler->context.looked_at += g_hash_table_size (scheduler->machine_table.machines);
}

void
ft_placement_pass (FtScheduler *scheduler)
{
  Pass pass = { 0 };
  scheduler->context.placement_due = FALSE;
  scheduler->placement.pass++;
  scheduler->placement.next_pass = scheduler->context.now + (gint64) (FT_PASS_EVERY_S * FT_SECOND);
  collect (scheduler);
  if (!scheduler->context.may_start || !ft_recovery_is_loaded (&scheduler->recovery)
      || scheduler->placement.waiting->len == 0)
    return;
  find_machines (scheduler, &pass);
  guint placed = 0, preempting = scheduler->context.now >= scheduler->placement.next_preempt ? 0 : FT_PREEMPT_JOBS;
  for (guint i = 0; i < scheduler->placement.waiting->len && placed < FT_PASS_TASKS; i++) {
    FtJob *job = g_ptr_array_index (scheduler->placement.waiting, i);
    placed += place_job (scheduler, job, &pass);
    if (job->no_room_pass == scheduler->placement.pass && job->counts[FT_TASK_QUEUED] > 0
        && preempting < FT_PREEMPT_JOBS) {
      ft_preempt_for (scheduler, job);
      preempting++;
      scheduler->placement.next_preempt = scheduler->context.now + (gint64) (FT_PREEMPT_EVERY_S * FT_SECOND);
    }
  }
  g_ptr_array_unref (pass.machines);
  g_clear_pointer (&scheduler->preemption.victims, g_ptr_array_unref);
  if (placed >= FT_PASS_TASKS)
    scheduler->context.placement_due = TRUE;
}

void
ft_placement_fill (FtScheduler *scheduler, FtMachine *machine)
{
  if (!scheduler->context.may_start || !ft_recovery_is_loaded (&scheduler->recovery)
      || !ft_machine_usable (scheduler, machine))
    return;
  for (guint i = 0, looked = 0; i < scheduler->placement.waiting->len && looked < FT_FILL_JOBS; i++) {
    FtJob *job = g_ptr_array_index (scheduler->placement.waiting, i);
    if (!wants_placing (scheduler, job))
      continue;
    looked++;
    scheduler->context.looked_at++;
    gboolean plain = job->spec->kind != FT_KIND_GANG && !job->spec->one_zone && !job->spec->spread;
    if (plain && ft_machine_allowed (machine, job->spec))
      place_on (scheduler, job, machine, FT_PASS_TASKS);
  }
}

void
ft_placement_forget (FtScheduler *scheduler, FtJob *job)
{
  g_ptr_array_remove (scheduler->placement.order, job);
  g_ptr_array_remove (scheduler->placement.waiting, job);
}
