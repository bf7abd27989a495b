/* Places queued tasks: best fit among a few sampled machines with room, all
 * machines scanned if none of the sample has any. */
#include "core/model.h"

#include <math.h>

static gint
by_urgency (gconstpointer a, gconstpointer b)
{
  const FtJob *x = *(FtJob *const *) a, *y = *(FtJob *const *) b;
  if (x->guaranteed != y->guaranteed)
    return x->guaranteed ? -1 : 1;
  if (x->spec->priority != y->spec->priority)
    return x->spec->priority > y->spec->priority ? -1 : 1;
  if (x->too_late != y->too_late)
    return x->too_late ? 1 : -1;
  gint64 dx = x->deadline_at ? x->deadline_at : G_MAXINT64, dy = y->deadline_at ? y->deadline_at : G_MAXINT64;
  if (dx != dy)
    return dx < dy ? -1 : 1;
  return x->stamp < y->stamp ? -1 : x->stamp > y->stamp;
}

/* In overload, earliest deadline first makes every job late. What cannot be in
 * time any more lets pass what still can, for a bounded time. */
static gboolean
too_late (const FtScheduler *s, const FtJob *job)
{
  if (job->deadline_at == 0)
    return FALSE;
  gint64 needs = (gint64) (job->spec->estimate_s * FT_TOO_LATE_SHARE * FT_SECOND);
  gint64 patience = (gint64) (FT_TOO_LATE_PATIENCE * (double) (job->deadline_at - job->accepted_at));
  return s->now + needs > job->deadline_at && s->now < job->deadline_at + patience;
}

static void
collect (FtScheduler *s)
{
  GHashTableIter it;
  gpointer value;
  g_ptr_array_set_size (s->order, 0);
  g_hash_table_iter_init (&it, s->jobs);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    FtJob *job = value;
    if (job->state != FT_JOB_OPEN || job->team == NULL)
      continue;
    job->too_late = too_late (s, job);
    g_ptr_array_add (s->order, job);
  }
  ft_quota_mark_guaranteed (s);
  g_ptr_array_sort (s->order, by_urgency);
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
find_whereabouts (const FtJob *job, Whereabouts *w)
{
  w->zone_count = g_hash_table_new (g_str_hash, g_str_equal);
  w->zone = NULL;
  if (!job->spec->one_zone && !job->spec->spread)
    return; /* nobody asks, and a job may have very many tasks */
  for (guint i = 0; i < job->spec->tasks; i++) {
    const FtAttempt *a = job->tasks[i].attempt;
    if (a == NULL || !a->holds)
      continue;
    w->zone = a->machine->zone;
    guint n = GPOINTER_TO_UINT (g_hash_table_lookup (w->zone_count, w->zone));
    g_hash_table_insert (w->zone_count, a->machine->zone, GUINT_TO_POINTER (n + 1));
  }
}

static gboolean
zone_allowed (const FtJob *job, const Whereabouts *w, const FtMachine *machine)
{
  if (job->spec->one_zone && w->zone != NULL && g_strcmp0 (w->zone, machine->zone) != 0)
    return FALSE;
  if (!job->spec->spread)
    return TRUE;
  guint here = GPOINTER_TO_UINT (g_hash_table_lookup (w->zone_count, machine->zone));
  return here + 1 <= (job->spec->tasks + 1) / 2;
}

/* Smaller is better: seconds until the task could start, then the room left. */
static double
score (const FtMachine *machine, const FtJobSpec *spec)
{
  double wait = 0;
  if (!g_hash_table_contains (machine->images, spec->image)) {
    wait = spec->image_gb / MAX (machine->type->fetch_gb_per_s, 1e-3);
    GHashTableIter it;
    gpointer value;
    g_hash_table_iter_init (&it, machine->attempts);
    while (g_hash_table_iter_next (&it, NULL, &value)) {
      const FtAttempt *a = value;
      if (a->holds && !a->running && a->job != NULL && g_strcmp0 (a->job->spec->image, spec->image) == 0) {
        wait *= FT_SCORE_FETCHING; /* another task fetches it already */
        break;
      }
    }
  }
  double left = (machine->type->cpus - machine->cpus - spec->cpus) / machine->type->cpus;
  return wait + FT_SCORE_LEFT_S * left + (machine->spot ? 0 : FT_SCORE_ORDINARY_S);
}

/* A task keeps off the machine where it failed, for a while only: it may be
 * the only one that is allowed. */
static gboolean
avoided (const FtScheduler *s, const FtTask *task, const FtMachine *machine)
{
  return task->avoid == machine && s->now < task->not_before + (gint64) (FT_AVOID_S * FT_SECOND);
}

static gboolean
candidate (const FtScheduler *s, const FtJob *job, const FtTask *task, const Whereabouts *w, const FtMachine *machine)
{
  return ft_machine_usable (s, machine) && ft_machine_allowed (machine, job->spec) && !avoided (s, task, machine)
         && zone_allowed (job, w, machine) && ft_machine_room (machine, job->spec) > 0;
}

static FtMachine *
pick (FtScheduler *s, const FtJob *job, const FtTask *task, const Whereabouts *w, GPtrArray *machines)
{
  FtMachine *best = NULL;
  double best_score = INFINITY;
  guint seen = 0;
  guint n = machines->len, start = n > 0 ? (guint) g_rand_int_range (s->random, 0, (gint32) n) : 0;
  for (guint i = 0; i < n && seen < s->tuning.sample_size; i++) {
    FtMachine *machine = g_ptr_array_index (machines, (start + i) % n);
    if (!candidate (s, job, task, w, machine))
      continue;
    seen++;
    double value = score (machine, job->spec);
    if (value < best_score) {
      best_score = value;
      best = machine;
    }
  }
  return best;
}

/* Attempt numbers rise with the token, so across leaders. */
static guint64
next_attempt (FtScheduler *s)
{
  return (s->token << FT_ATTEMPT_BITS) + s->next_attempt++;
}

static void
place (FtScheduler *s, FtJob *job, guint index, FtMachine *machine, guint64 id)
{
  FtAttempt *a = ft_attempt_new (machine, job, job->spec->ref, index, id);
  ft_attempt_hold (a);
  ft_attempt_bind (a, FT_TASK_STARTING);
  a->placed_at = s->now;
  a->placed_pass = s->pass;
  g_message ("task %s/%u: placed on %s attempt %" G_GUINT64_FORMAT, job->spec->ref, index, machine->name, id);
}

/* What is left of a gang that has lost a task can only end: it is stopped, and
 * the gang starts again whole. */
static gboolean
gang_ready (FtScheduler *s, FtJob *job)
{
  guint unfinished = job->spec->tasks - ft_job_finished (job);
  if (job->counts[FT_TASK_QUEUED] == unfinished)
    return ft_quota_count (s, job->team, job->spec) >= unfinished;
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
take_back (FtScheduler *s, FtJob *job)
{
  for (guint i = 0; i < job->spec->tasks; i++) {
    FtAttempt *a = job->tasks[i].attempt;
    if (a != NULL && a->placed_pass == s->pass)
      ft_attempt_over (s, a);
  }
}

static guint
place_job (FtScheduler *s, FtJob *job, GPtrArray *machines)
{
  gboolean whole = job->spec->kind == FT_KIND_GANG;
  if (whole && !gang_ready (s, job))
    return 0;
  Whereabouts w;
  guint placed = 0;
  gboolean zoned = job->spec->one_zone || job->spec->spread;
  /* Unknown tasks could be in any zone: wait until they are found. */
  if (zoned && job->counts[FT_TASK_UNKNOWN] > 0)
    return 0;
  find_whereabouts (job, &w);
  guint64 id = next_attempt (s);
  while ((placed < FT_PASS_TASKS || whole) && ft_quota_allows (s, job->team, job->spec)) {
    guint index = next_queued (job, s->now);
    if (index >= job->spec->tasks)
      break;
    FtMachine *machine = pick (s, job, &job->tasks[index], &w, machines);
    if (machine == NULL) {
      job->pass_blocked = s->pass;
      break;
    }
    place (s, job, index, machine, id);
    placed++;
    /* The tasks of a gang come together under one attempt number. */
    if (!whole)
      id = next_attempt (s);
    if (zoned) {
      g_hash_table_unref (w.zone_count);
      find_whereabouts (job, &w);
    }
  }
  g_hash_table_unref (w.zone_count);
  if (whole && job->counts[FT_TASK_QUEUED] > 0) {
    take_back (s, job);
    return 0;
  }
  return placed;
}

void
ft_placement_pass (FtScheduler *s)
{
  s->dirty = FALSE;
  s->pass++;
  collect (s);
  if (!s->may_start || !s->loaded)
    return;
  g_autoptr (GPtrArray) machines = g_ptr_array_new ();
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, s->machines);
  while (g_hash_table_iter_next (&it, NULL, &value))
    if (ft_machine_usable (s, value))
      g_ptr_array_add (machines, value);
  guint placed = 0;
  for (guint i = 0; i < s->order->len && placed < FT_PASS_TASKS; i++) {
    FtJob *job = g_ptr_array_index (s->order, i);
    if (job->counts[FT_TASK_QUEUED] == 0 || job->not_before > s->now)
      continue;
    placed += place_job (s, job, machines);
    if (job->pass_blocked == s->pass && job->counts[FT_TASK_QUEUED] > 0)
      ft_preempt_for (s, job);
  }
  if (placed >= FT_PASS_TASKS)
    s->dirty = TRUE;
}
