#include "core/scheduler.h"

#include "core/fault.h"
#include "core/fleet.h"
#include "core/model.h"

static gint64
seconds (double s)
{
  return (gint64) (s * FT_SECOND);
}

/* ---- jobs that wait for others ---- */

static void
open_job (FtScheduler *s, FtJob *job)
{
  ft_job_set_state (job, FT_JOB_OPEN);
  job->ready_at = MAX (job->accepted_at, ft_dependencies_met_at (s->dependencies, job->spec->ref));
  s->dirty = TRUE;
}

/* What it needs has ended, or those that need it have changed. */
static void
on_dependency_changed (const char *ref, gpointer data)
{
  FtScheduler *s = data;
  FtJob *job = g_hash_table_lookup (s->jobs, ref);
  const FtUrgency *urgency = ft_dependencies_urgency (s->dependencies, ref);
  if (job == NULL || urgency == NULL)
    return;
  job->priority = urgency->priority;
  job->deadline_at = urgency->deadline_at;
  FtWait wait = ft_dependencies_wait (s->dependencies, ref);
  if (wait == FT_WAIT_NONE && job->state == FT_JOB_WAITING)
    open_job (s, job);
  if (wait == FT_WAIT_CANCELLED && !job->needs_cancelled) {
    job->needs_cancelled = TRUE;
    ft_job_touch (job);
  }
}

/* TRUE if its end is known to be committed. */
static gboolean
known_end (const FtScheduler *s, const char *ref, FtJobEnd *end)
{
  const FtJob *job = g_hash_table_lookup (s->jobs, ref);
  guint value;
  if (job != NULL) {
    *end = FT_JOB_END_CANCELLED;
    return job->state == FT_JOB_WITHDRAWN && job->withdrawal_read;
  }
  if (!ft_recent_map_find (s->closed, ref, &value))
    return FALSE;
  *end = (FtJobEnd) value;
  return TRUE;
}

static void
add_dependencies (FtScheduler *s, FtJob *job)
{
  const FtJobSpec *spec = job->spec;
  g_autoptr (GPtrArray) needs = g_ptr_array_new ();
  gboolean cancelled = FALSE;
  /* Marks are only raised for jobs whose needs were done: then there is nothing to read. */
  GStrv awaits = spec->sent > 0 ? NULL : spec->awaits;
  for (guint i = 0; awaits != NULL && awaits[i] != NULL; i++) {
    FtJobEnd end;
    if (!known_end (s, awaits[i], &end))
      g_ptr_array_add (needs, awaits[i]);
    else
      cancelled |= end == FT_JOB_END_CANCELLED;
  }
  g_ptr_array_add (needs, NULL);
  FtUrgency own = { spec->priority, job->deadline_at, seconds (spec->estimate_s + FT_STEP_OVERHEAD_S) };
  ft_dependencies_add (s->dependencies, spec->ref, (const char *const *) needs->pdata, cancelled, &own);
}

const char *
ft_scheduler_next_unread_job (FtScheduler *s, gint64 now)
{
  s->now = now;
  return s->loaded ? ft_dependencies_next_unread (s->dependencies, now, seconds (FT_NEED_READ_EVERY_S)) : NULL;
}

void
ft_scheduler_job_end_read (FtScheduler *s, const char *ref, FtJobEnd end, gint64 age_us, gint64 now)
{
  s->now = now;
  /* An open job's end comes by its own write, or with its withdrawal. */
  if (g_hash_table_contains (s->jobs, ref))
    return;
  ft_recent_map_add (s->closed, ref, end);
  ft_dependencies_settled (s->dependencies, ref, end, age_us >= 0 ? now - age_us : 0);
}

/* ---- life ---- */

FtScheduler *
ft_scheduler_new (const FtSettings *settings, FtCatalog *catalog, guint64 token, gint64 hold_us, gint64 now,
                  guint32 seed)
{
  FtScheduler *s = g_new0 (FtScheduler, 1);
  s->settings = settings;
  s->catalog = ft_catalog_ref (catalog);
  s->token = token;
  s->hold_us = hold_us;
  s->now = s->took_over_at = s->known_until = now;
  s->random = g_rand_new_with_seed (seed);
  s->next_attempt = s->next_booking = 1;
  ft_tuning_defaults (&s->tuning);
  s->value_divisor = 1;
  s->drained = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  s->teams = g_new0 (FtTeam, settings->n_teams);
  for (guint i = 0; i < settings->n_teams; i++)
    s->teams[i].limit = &settings->teams[i];
  s->jobs = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, (GDestroyNotify) ft_job_free);
  s->closed = ft_recent_map_new (FT_FINAL_CACHE);
  s->dependencies = ft_dependencies_new (on_dependency_changed, s);
  s->machines = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, (GDestroyNotify) ft_machine_free);
  s->zones = ft_zones_new ();
  s->gone = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  s->pools = ft_fleet_pools_new ();
  s->order = g_ptr_array_new ();
  s->waiting = g_ptr_array_new ();
  s->rows = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, (GDestroyNotify) ft_roster_row_free);
  g_queue_init (&s->touched);
  g_queue_init (&s->directs);
  g_queue_init (&s->probes);
  g_queue_init (&s->returning);
  g_queue_init (&s->dirty_rows);
  g_queue_init (&s->marks_drop);
  g_queue_init (&s->closing);
  return s;
}

void
ft_scheduler_free (FtScheduler *s)
{
  if (s == NULL)
    return;
  /* Attempts know their jobs: machines go first. */
  g_hash_table_unref (s->machines);
  g_hash_table_unref (s->jobs);
  ft_recent_map_free (s->closed);
  ft_dependencies_free (s->dependencies);
  g_hash_table_unref (s->zones);
  g_hash_table_unref (s->gone);
  g_hash_table_unref (s->drained);
  g_hash_table_unref (s->pools);
  g_ptr_array_unref (s->order);
  g_ptr_array_unref (s->waiting);
  g_hash_table_unref (s->rows);
  g_queue_clear (&s->touched);
  g_queue_clear (&s->directs);
  g_queue_clear (&s->probes);
  g_queue_clear (&s->returning);
  g_queue_clear (&s->dirty_rows);
  g_queue_clear_full (&s->marks_drop, g_free);
  g_queue_clear_full (&s->closing, (GDestroyNotify) ft_write_free);
  g_rand_free (s->random);
  ft_catalog_unref (s->catalog);
  g_free (s->teams);
  g_free (s);
}

void
ft_scheduler_set_tuning (FtScheduler *s, const FtTuning *tuning)
{
  s->tuning = *tuning;
}

void
ft_scheduler_lower_value_limit (FtScheduler *s)
{
  if (s->settings->value_kb / (s->value_divisor * 2) >= FT_VALUE_KB_LEAST)
    s->value_divisor *= 2;
}

void
ft_scheduler_set_catalog (FtScheduler *s, FtCatalog *catalog)
{
  ft_catalog_ref (catalog);
  ft_catalog_unref (s->catalog);
  s->catalog = catalog;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, s->machines);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    FtMachine *m = value;
    m->type = ft_catalog_find (catalog, m->type_name);
  }
  ft_recovery_count (s);
}

/* ---- jobs ---- */

static FtJob *
add_job (FtScheduler *s, FtJobSpec *spec, guint64 stamp, FtTaskState initial, gint64 wall_ms)
{
  /* An event of the watch may be older than the job's end: a job ends once. */
  if (g_hash_table_contains (s->jobs, spec->ref) || ft_recent_map_find (s->closed, spec->ref, NULL)) {
    ft_job_spec_free (spec);
    return NULL;
  }
  FtJob *job = ft_job_new (spec, ft_quota_team (s, spec->team), stamp, initial);
  job->scheduler = s;
  /* Each leader's starts are bounded by marks that it commits first, and the
   * fence lets no former one raise a mark: what lies beyond was never sent. */
  for (guint i = spec->sent; initial == FT_TASK_UNKNOWN && i < spec->tasks; i++)
    ft_task_set_state (job, i, FT_TASK_QUEUED);
  gint64 age_us = MAX (0, wall_ms - spec->submitted_wall_ms) * 1000;
  job->accepted_at = job->ready_at = s->now - age_us;
  job->deadline_at = spec->deadline_s > 0 ? job->accepted_at + (gint64) (spec->deadline_s * FT_SECOND) : 0;
  s->open_tasks += spec->tasks;
  s->dirty = TRUE;
  g_hash_table_insert (s->jobs, spec->ref, job);
  add_dependencies (s, job);
  g_message ("job %s: %s of %s, %u tasks, %.1f s ago, estimate %.1f s, due within %.1f s", spec->ref, spec->job_class,
             spec->team, spec->tasks, (double) age_us / FT_SECOND, spec->estimate_s, spec->deadline_s);
  return job;
}

void
ft_scheduler_load_job (FtScheduler *s, FtJobSpec *spec, guint64 stamp, gint64 now, gint64 wall_ms)
{
  s->now = now;
  add_job (s, spec, stamp, FT_TASK_UNKNOWN, wall_ms);
}

void
ft_scheduler_load_done (FtScheduler *s, const char *ref, guint chunk, const char *bits)
{
  FtJob *job = g_hash_table_lookup (s->jobs, ref);
  if (job == NULL) {
    /* Left over from a job that was finished in two transactions. */
    FtWrite *drop = g_new0 (FtWrite, 1);
    drop->kind = FT_WRITE_CHUNK_DROP;
    drop->name = g_strdup (ref);
    drop->chunk = chunk;
    g_queue_push_tail (&s->closing, drop);
    return;
  }
  gsize size = 0;
  g_autofree guchar *data = g_base64_decode (bits, &size);
  guint first = chunk * FT_DONE_CHUNK;
  for (guint i = 0; i < FT_DONE_CHUNK && i / 8 < size && first + i < job->spec->tasks; i++)
    if (data[i / 8] & (1u << (i % 8)))
      ft_task_set_state (job, first + i, FT_TASK_DONE);
  g_hash_table_add (job->written, GUINT_TO_POINTER (chunk));
}

void
ft_scheduler_job_added (FtScheduler *s, FtJobSpec *spec, guint64 stamp, gint64 now, gint64 wall_ms)
{
  s->now = now;
  add_job (s, spec, stamp, s->recovered ? FT_TASK_QUEUED : FT_TASK_UNKNOWN, wall_ms);
}

/* Nothing of a withdrawn job starts any more; what runs is stopped. */
void
ft_job_withdraw (FtScheduler *s, FtJob *job, gint64 at)
{
  if (job->state >= FT_JOB_WITHDRAWN) {
    job->withdrawn_at = MIN (job->withdrawn_at, at);
    return;
  }
  job->withdrawn_at = at;
  ft_job_set_state (job, FT_JOB_WITHDRAWN);
  for (guint i = 0; i < job->spec->tasks; i++) {
    FtAttempt *a = job->tasks[i].attempt;
    if (job->tasks[i].state == FT_TASK_QUEUED)
      ft_task_set_state (job, i, FT_TASK_DROPPED);
    if (a == NULL || a->exited)
      continue;
    ft_attempt_want_stop (a, 0);
    /* A start that never left this process needs no stop. */
    if (!a->shown && a->sent_sequence == 0 && !a->direct_in_flight && !a->direct_unanswered)
      ft_attempt_over (s, a);
  }
  s->dirty = TRUE;
}

void
ft_scheduler_job_withdrawn (FtScheduler *s, const char *ref, gint64 age_us, gint64 now)
{
  s->now = now;
  FtJob *job = g_hash_table_lookup (s->jobs, ref);
  if (job == NULL)
    return;
  ft_job_withdraw (s, job, now - age_us);
  job->withdrawal_read = TRUE;
  ft_job_touch (job);
  ft_dependencies_settled (s->dependencies, ref, FT_JOB_END_CANCELLED, now);
}

void
ft_scheduler_withdrawal_hinted (FtScheduler *s, const char *ref, gint64 now)
{
  s->now = now;
  FtJob *job = g_hash_table_lookup (s->jobs, ref);
  if (job != NULL)
    ft_job_withdraw (s, job, now);
}

void
ft_job_close (FtScheduler *s, FtJob *job, FtJobEnd end)
{
  g_autoptr (GList) all = g_hash_table_get_keys (job->attempts);
  ft_job_set_state (job, FT_JOB_CLOSED);
  ft_recent_map_add (s->closed, job->spec->ref, end);
  for (GList *l = all; l != NULL; l = l->next) {
    FtAttempt *attempt = l->data;
    attempt->job = NULL;
    attempt->bound = FALSE;
    attempt->forget_ok = attempt->exited;
    if (!attempt->exited)
      ft_attempt_want_stop (attempt, 0);
  }
  for (guint i = 0; i < job->spec->tasks && job->counts[FT_TASK_UNKNOWN] > 0; i++)
    if (job->tasks[i].state == FT_TASK_UNKNOWN)
      ft_task_set_state (job, i, FT_TASK_DROPPED);
  s->open_tasks -= job->spec->tasks;
  s->dirty = TRUE;
  ft_placement_forget (s, job);
  if (job->touched)
    g_queue_remove (&s->touched, job);
  g_autofree char *ref = g_strdup (job->spec->ref);
  g_hash_table_remove (s->jobs, ref);
  ft_dependencies_settled (s->dependencies, ref, end, s->now);
}

FtJobView
ft_scheduler_view (const FtScheduler *s, const char *ref)
{
  FtJobView view = { 0 };
  const FtJob *job = g_hash_table_lookup (s->jobs, ref);
  if (job == NULL)
    return view;
  view.known = TRUE;
  view.withdrawn = job->state == FT_JOB_WITHDRAWN;
  view.done = ft_job_finished (job);
  view.running = ft_job_live (job) - job->counts[FT_TASK_STARTING];
  return view;
}

guint
ft_scheduler_open_tasks (const FtScheduler *s)
{
  return s->open_tasks;
}

guint
ft_scheduler_up (const FtScheduler *s)
{
  guint n = 0;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, s->machines);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    FtMachineState state = ((FtMachine *) value)->state;
    n += state == FT_MACHINE_UP || state == FT_MACHINE_SILENT;
  }
  return n;
}

/* ---- workers ---- */

static void
task_failed (FtScheduler *s, FtAttempt *a, FtWhy why)
{
  FtJob *job = a->job;
  FtTask *task = &job->tasks[a->index];
  task->fails = MIN (task->fails + 1, FT_FAILS_COUNTED);
  task->avoid = a->machine;
  double pause = MIN (FT_RETRY_FIRST_S * (1u << (task->fails - 1)), FT_RETRY_LONGEST_S);
  task->not_before = s->now + (gint64) (pause * FT_SECOND);
  if (why == FT_WHY_ERROR)
    ft_fault_task_failed (s, a);
}

static void
attempt_exited (FtScheduler *s, FtAttempt *a, FtWhy why)
{
  FtMachine *machine = a->machine;
  a->exited = TRUE;
  a->listed = TRUE;
  a->exited_at = s->now;
  ft_attempt_release (a);
  s->dirty = TRUE;
  if (a->bound && why == FT_WHY_DONE) {
    ft_fault_task_completed (machine);
    ft_task_set_state (a->job, a->index, FT_TASK_FINISHED);
    if (a->job->state == FT_JOB_WITHDRAWN)
      ft_task_set_state (a->job, a->index, FT_TASK_DROPPED);
    if (a->job->state != FT_JOB_OPEN) {
      a->forget_ok = TRUE;
      ft_attempt_over (s, a);
    }
    return;
  }
  if (a->bound) {
    /* Its room is somebody else's for the moment: it does not take it back at once. */
    if (why == FT_WHY_STOPPED && a->stop_wanted && machine->notice_until == 0)
      a->job->tasks[a->index].not_before = s->now + (gint64) (FT_PREEMPTED_PAUSE_S * FT_SECOND);
    gboolean blameless = why == FT_WHY_STOPPED || why == FT_WHY_PEERS || why == FT_WHY_ALONE;
    if (!blameless && a->job->state == FT_JOB_OPEN)
      task_failed (s, a, why);
    g_message ("task %s/%u: attempt ended on %s (why %d)", a->job_ref, a->index, machine->name, why);
  }
  a->forget_ok = TRUE;
  ft_attempt_over (s, a);
}

static void
attempt_progress (FtScheduler *s, FtAttempt *a, FtReportedState state)
{
  static const FtTaskState states[] = { FT_TASK_FETCHING, FT_TASK_FETCHING, FT_TASK_RUNNING, FT_TASK_SAVING };
  a->shown = TRUE;
  if (state != FT_REPORTED_FETCHING && !a->has_image) {
    a->has_image = TRUE;
    if (a->job != NULL)
      g_hash_table_add (a->machine->images, g_strdup (a->job->spec->image));
  }
  if (state != FT_REPORTED_FETCHING && state != FT_REPORTED_WAITING && !a->running) {
    a->running = TRUE;
    a->running_at = s->now;
  }
  if (a->bound)
    ft_task_set_state (a->job, a->index, states[state]);
}

/* An attempt in a report that this leadership did not start. */
static void
adopt (FtScheduler *s, FtMachine *machine, const FtReportedTask *t)
{
  FtJob *job = g_hash_table_lookup (s->jobs, t->job);
  if (job != NULL && t->index >= job->spec->tasks)
    job = NULL;
  FtTask *task = job != NULL ? &job->tasks[t->index] : NULL;
  FtAttempt *a = ft_attempt_new (machine, job, t->job, t->index, t->attempt);
  a->shown = a->listed = TRUE;
  a->placed_at = s->now;
  gboolean open = job != NULL && job->state == FT_JOB_OPEN;
  gboolean free_task
      = open && task->attempt == NULL && (task->state == FT_TASK_UNKNOWN || task->state == FT_TASK_QUEUED);
  if (t->state == FT_REPORTED_EXITED) {
    a->exited = TRUE;
    a->exited_at = s->now;
    a->by_direct = TRUE; /* for all we know */
    a->forget_ok = !(free_task && t->why == FT_WHY_DONE);
    if (free_task && t->why == FT_WHY_DONE)
      ft_attempt_bind (a, FT_TASK_FINISHED);
    s->dirty = TRUE;
    return;
  }
  a->by_direct = TRUE; /* for all we know */
  ft_attempt_hold (a);
  if (free_task) {
    ft_attempt_bind (a, FT_TASK_FETCHING);
  } else if (job != NULL && job->state == FT_JOB_WITHDRAWN && task->attempt == NULL && task->state == FT_TASK_UNKNOWN) {
    ft_attempt_bind (a, FT_TASK_FETCHING);
    ft_attempt_want_stop (a, 0);
  } else {
    g_warning ("task %s/%u: attempt %" G_GUINT64_FORMAT " on %s is not wanted", t->job, t->index, t->attempt,
               machine->name);
    ft_attempt_want_stop (a, 0);
  }
  attempt_progress (s, a, t->state);
}

static void
apply_task (FtScheduler *s, FtMachine *machine, const FtReportedTask *t)
{
  FtAttempt *a = ft_machine_attempt (machine, t->job, t->index, t->attempt);
  if (a == NULL) {
    adopt (s, machine, t);
    return;
  }
  a->listed = TRUE;
  if (a->exited)
    return;
  if (t->state != FT_REPORTED_EXITED) {
    attempt_progress (s, a, t->state);
    return;
  }
  a->shown = TRUE;
  attempt_exited (s, a, t->why);
}

/* An attempt that a newer report of its session does not show. */
static void
apply_absence (FtScheduler *s, FtAttempt *a, const FtReport *report, gboolean is_report)
{
  if (a->exited) {
    if (a->bound)
      return; /* its result is not committed yet */
    g_hash_table_remove (a->machine->attempts, a);
    return;
  }
  if (a->shown) {
    /* The protocol has no way to this; the start is repeated, on this machine. */
    g_warning ("task %s/%u: vanished from %s", a->job_ref, a->index, a->machine->name);
    if (a->stop_wanted)
      ft_attempt_over (s, a);
    else
      a->shown = FALSE;
    return;
  }
  /* Commands in the answer to a report are executed before the next report or
   * never, but a direct start may still be on its way: then only the end of
   * the session proves that it did not happen. */
  gboolean certain = is_report && a->sent_sequence < report->sequence;
  if (!a->stop_wanted || !certain || a->direct_in_flight)
    return;
  if (!a->direct_unanswered)
    ft_attempt_over (s, a);
  else if (a->bound && a->job->state == FT_JOB_OPEN)
    a->stop_wanted = FALSE; /* started after all: waiting for the lost start could last for ever */
}

static void
apply_tasks (FtScheduler *s, FtMachine *machine, const FtReport *report, gboolean is_report)
{
  g_autoptr (GList) before = g_hash_table_get_values (machine->attempts);
  for (GList *l = before; l != NULL; l = l->next)
    ((FtAttempt *) l->data)->listed = FALSE;
  for (guint i = 0; i < report->tasks->len; i++)
    apply_task (s, machine, &g_array_index (report->tasks, FtReportedTask, i));
  g_autoptr (GList) after = g_hash_table_get_values (machine->attempts);
  for (GList *l = after; l != NULL; l = l->next)
    if (!((FtAttempt *) l->data)->listed)
      apply_absence (s, l->data, report, is_report);
}

/* A spot notice: no more starts; what saves is stopped in time, what is sure
 * to be lost anyway goes elsewhere at once. */
static void
apply_notice (FtScheduler *s, FtMachine *machine, double notice_s)
{
  if (notice_s < 0 || machine->state == FT_MACHINE_RETURNING)
    return;
  if (machine->notice_until == 0)
    g_message ("machine %s: notice, taken in %.1f s", machine->name, notice_s);
  gboolean first = machine->notice_until == 0;
  machine->notice_until = s->now + (gint64) (notice_s * FT_SECOND);
  if (!first)
    return;
  ft_spot_risk_lost (&s->spot_risk);
  g_autoptr (GList) all = g_hash_table_get_values (machine->attempts);
  for (GList *l = all; l != NULL; l = l->next) {
    FtAttempt *a = l->data;
    if (!a->bound || a->exited)
      continue;
    const FtJobSpec *spec = a->job->spec;
    double ran = a->running ? (double) (s->now - a->running_at) / FT_SECOND : 0;
    if (spec->checkpoint_s > 0 && a->running)
      ft_attempt_want_stop (a, spec->save_s);
    else if (ran + notice_s < FT_NOTICE_LOST_SHARE * spec->estimate_s)
      ft_attempt_want_stop (a, 0);
  }
}

static FtMachine *
machine_of_report (FtScheduler *s, const FtReport *report)
{
  FtMachine *machine = g_hash_table_lookup (s->machines, report->machine);
  if (machine == NULL) {
    /* Rented by a former leader, or by a request executed late. It is in no
     * roster, so it has never been sent a command: it holds no task. */
    machine = ft_machine_new (s, report->machine, report->addr, report->type, report->zone, report->spot);
    ft_machine_account (machine);
    machine->last_answer = s->now;
    g_hash_table_insert (s->machines, machine->name, machine);
    g_message ("machine %s: first heard of by its report", machine->name);
  }
  if (g_strcmp0 (machine->addr, report->addr) != 0) {
    g_free (machine->addr);
    machine->addr = g_strdup (report->addr);
  }
  return machine;
}

/* An answer is heard if the next report shows what it brought: our token, the
 * tasks it started. A lost packet looks the same once, hence the count. */
static void
judge_hearing (FtScheduler *s, FtMachine *machine, const FtReport *report)
{
  gboolean missing = machine->answered > 0 && report->token < s->token;
  gboolean expected = FALSE;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, machine->attempts);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    const FtAttempt *a = value;
    gboolean sent = a->sent_sequence > 0 && a->sent_sequence < report->sequence;
    expected |= sent;
    missing |= sent && !a->shown && !a->exited;
  }
  if (missing)
    machine->unheard++;
  else if (expected || machine->deaf_since == 0)
    machine->unheard = 0;
  if (machine->unheard >= FT_UNHEARD_MOST && machine->deaf_since == 0) {
    machine->deaf_since = s->now;
    g_message ("machine %s: does not hear us", machine->name);
  } else if (machine->unheard == 0) {
    machine->deaf_since = 0;
  }
}

static void
begin_session (FtScheduler *s, FtMachine *machine, guint64 session)
{
  if (machine->session != 0) {
    g_message ("machine %s: session %" G_GUINT64_FORMAT, machine->name, session);
    ft_machine_end_session (s, machine);
  }
  machine->session = session;
  machine->answered = 0;
  machine->in_doubt = FALSE;
}

/* Older than what is known of the machine, or a copy from before it knew us:
 * tokens only rise. Copies may come late by more than a lease. */
static gboolean
outdated (const FtScheduler *s, const FtMachine *machine, const FtReport *report)
{
  return report->session <= machine->lapsed_session || report->session < machine->session
         || (report->session == machine->session && report->sequence <= machine->sequence)
         || (machine->knows_us && report->token < s->token);
}

static void
now_up (FtScheduler *s, FtMachine *machine)
{
  machine->last_report = s->now;
  machine->probe_fails = 0;
  if (machine->state != FT_MACHINE_BOOTING && machine->state != FT_MACHINE_SILENT)
    return;
  if (machine->state == FT_MACHINE_BOOTING)
    machine->idle_since = s->now;
  ft_machine_set_state (machine, FT_MACHINE_UP);
  s->dirty = TRUE;
}

/* Only what was sent after the worker saw our token counts: before that a
 * command of the former leader may still have been executed. */
static void
heard_under_our_token (FtScheduler *s, FtMachine *machine, const FtReport *report, gboolean is_report)
{
  if (!machine->knows_us)
    s->dirty = TRUE;
  machine->knows_us = TRUE;
  s->last_heard = s->now;
  if (!machine->accounted) {
    ft_machine_account (machine);
    g_message ("machine %s: accounted for", machine->name);
  }
  apply_tasks (s, machine, report, is_report);
}

/* Takes in a report's content if it is the newest of its machine. */
static void
apply_report (FtScheduler *s, FtMachine *machine, const FtReport *report, gboolean is_report)
{
  if (outdated (s, machine, report))
    return;
  if (report->session > machine->session)
    begin_session (s, machine, report->session);
  machine->sequence = report->sequence;
  if (is_report)
    machine->last_checkin = s->now;
  ft_zone_heard (machine->zone_view, s->now);
  now_up (s, machine);
  ft_roster_add (s, machine);
  if (report->token >= s->token)
    heard_under_our_token (s, machine, report, is_report);
  if (is_report) {
    judge_hearing (s, machine, report);
    apply_notice (s, machine, report->notice_s);
  } else {
    machine->unheard = 0; /* a command has reached it */
    machine->deaf_since = 0;
  }
}

gboolean
ft_scheduler_report (FtScheduler *s, const FtReport *report, gint64 now)
{
  s->now = now;
  if (report->token > s->token)
    return FALSE;
  /* Before the roster is read, nobody knows what a machine may hold. */
  if (s->loaded && !g_hash_table_contains (s->gone, report->machine))
    apply_report (s, machine_of_report (s, report), report, TRUE);
  ft_recovery_tick (s);
  return TRUE;
}

static void
add_command (GArray *commands, FtCommandOp op, const FtAttempt *a)
{
  FtCommand c = { .op = op, .job = g_strdup (a->job_ref), .index = a->index, .attempt = a->id, .grace_s = a->grace_s };
  g_array_append_val (commands, c);
}

static gboolean
wants_start (const FtScheduler *s, const FtMachine *machine, const FtAttempt *a)
{
  return s->may_start && machine->in_roster && a->bound && a->index < a->job->spec->sent && !a->shown && !a->exited
         && !a->stop_wanted && machine->state != FT_MACHINE_RETURNING && a->job->state == FT_JOB_OPEN;
}

/* A copy of a direct start may come late. While the worker knows the attempt it
 * does nothing; forgotten, it would start the task anew: beside another attempt,
 * or, if it is done, beyond the team's limit for a moment. */
static gboolean
may_forget (const FtScheduler *s, const FtAttempt *a)
{
  if (!a->exited || !a->forget_ok || a->direct_unanswered || a->direct_in_flight)
    return FALSE;
  return !a->by_direct || s->now - a->exited_at > seconds (FT_COPY_LEASES * s->settings->lease_s);
}

void
ft_scheduler_allow (FtScheduler *s, gboolean may_start)
{
  s->may_start = may_start;
}

GArray *
ft_scheduler_answer (FtScheduler *s, const FtReport *report, gint64 now)
{
  GArray *commands = ft_commands_new ();
  FtMachine *machine = g_hash_table_lookup (s->machines, report->machine);
  s->now = now;
  if (machine == NULL)
    return commands;
  machine->last_answer = now;
  /* It shows our token in its next report, in half a second. */
  if (!machine->accounted)
    machine->probe_at = MAX (machine->probe_at, now + seconds (FT_PROBE_FIRST_S));
  if (report->session != machine->session || report->sequence != machine->sequence || report->token < s->token
      || machine->session <= machine->lapsed_session) {
    if (report->session == machine->session)
      machine->answered = MAX (machine->answered, report->sequence);
    return commands;
  }
  machine->answered = report->sequence;
  /* What the report has freed is filled by this very answer. */
  ft_placement_fill (s, machine);
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, machine->attempts);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    FtAttempt *a = value;
    if (a->stop_wanted && a->shown && !a->exited)
      add_command (commands, FT_COMMAND_STOP, a);
    else if (s->may_start && may_forget (s, a))
      add_command (commands, FT_COMMAND_FORGET, a);
  }
  g_hash_table_iter_init (&it, machine->attempts);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    FtAttempt *a = value;
    if (!wants_start (s, machine, a))
      continue;
    a->sent_sequence = report->sequence;
    add_command (commands, FT_COMMAND_START, a);
  }
  return commands;
}

/* ---- direct commands ---- */

void
ft_direct_free (FtDirect *direct)
{
  if (direct == NULL)
    return;
  g_free (direct->machine);
  g_free (direct->addr);
  if (direct->commands != NULL)
    g_array_unref (direct->commands);
  g_free (direct);
}

static FtDirect *
direct_new (FtMachine *machine, GArray *commands)
{
  FtDirect *direct = g_new0 (FtDirect, 1);
  direct->machine = g_strdup (machine->name);
  direct->addr = g_strdup (machine->addr);
  direct->session = machine->session;
  direct->commands = commands;
  machine->command_in_flight = TRUE;
  return direct;
}

/* Since when the machine is silent, for all we can tell. */
static gint64
silent_since (const FtScheduler *s, const FtMachine *machine)
{
  return MAX (machine->last_report, s->hearing_since);
}

/* The ordinary gap between two reports is over: a probe tells whether the
 * machine or only the exchange is lost. */
static gboolean
report_overdue (const FtScheduler *s, const FtMachine *machine)
{
  return s->now - silent_since (s, machine) > ft_machine_overdue_us (s);
}

static gboolean
wants_probe (const FtScheduler *s, const FtMachine *machine)
{
  gboolean ask = !machine->accounted || ft_machine_deaf (machine)
                 || (machine->state == FT_MACHINE_UP && report_overdue (s, machine));
  return ask && s->now >= machine->probe_at && machine->addr != NULL && !machine->command_in_flight
         && machine->state != FT_MACHINE_GONE;
}

static FtDirect *
probe (FtScheduler *s, FtMachine *machine)
{
  guint pause = 1u << MIN (machine->probe_fails, FT_PROBE_DOUBLINGS);
  machine->probe_at = s->now + (gint64) (FT_PROBE_EVERY_S * pause * FT_SECOND);
  s->probes_in_flight++;
  return direct_new (machine, ft_commands_new ());
}

static FtDirect *
direct_to (FtScheduler *s, FtMachine *machine)
{
  if (machine->command_in_flight || machine->addr == NULL)
    return NULL;
  if (machine->state != FT_MACHINE_UP || !machine->accounted || machine->session <= machine->lapsed_session)
    return NULL;
  GArray *commands = ft_commands_new ();
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, machine->attempts);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    FtAttempt *a = value;
    if (a->stop_wanted && a->shown && !a->exited && !a->stop_sent) {
      a->stop_sent = TRUE;
      add_command (commands, FT_COMMAND_STOP, a);
    } else if (ft_machine_usable (s, machine) && wants_start (s, machine, a) && a->sent_sequence == 0
               && !a->direct_unanswered) {
      a->direct_in_flight = a->by_direct = TRUE;
      add_command (commands, FT_COMMAND_START, a);
    }
  }
  if (commands->len > 0)
    return direct_new (machine, commands);
  g_array_unref (commands);
  return NULL;
}

FtDirect *
ft_scheduler_next_direct (FtScheduler *s, gint64 now)
{
  s->now = now;
  FtMachine *machine;
  while ((machine = g_queue_pop_head (&s->directs)) != NULL) {
    machine->direct_queued = FALSE;
    s->looked_at++;
    FtDirect *direct = direct_to (s, machine);
    if (direct != NULL)
      return direct;
  }
  /* Those that do not answer keep their place for long: commands go first, and
   * only so many are asked at a time. */
  while (s->probes_in_flight < FT_PROBES_MOST && (machine = g_queue_pop_head (&s->probes)) != NULL) {
    machine->probe_queued = FALSE;
    s->looked_at++;
    if (wants_probe (s, machine))
      return probe (s, machine);
  }
  return NULL;
}

static void
settle_direct (FtScheduler *s, FtMachine *machine, const FtDirect *direct, FtDirectResult result)
{
  for (guint i = 0; i < direct->commands->len; i++) {
    const FtCommand *c = &g_array_index (direct->commands, FtCommand, i);
    FtAttempt *a = ft_machine_attempt (machine, c->job, c->index, c->attempt);
    if (a == NULL || c->op != FT_COMMAND_START)
      continue;
    a->direct_in_flight = FALSE;
    if (result == FT_DIRECT_UNANSWERED && a->session == direct->session)
      a->direct_unanswered = machine->in_doubt = TRUE;
    /* Refused as a whole: this copy was not executed and never will be. */
    if (result == FT_DIRECT_CONFLICT && a->stop_wanted && !a->shown && a->sent_sequence == 0 && !a->exited)
      ft_attempt_over (s, a);
  }
}

gboolean
ft_scheduler_direct_done (FtScheduler *s, const FtDirect *direct, FtDirectResult result, const FtReport *report,
                          gint64 now)
{
  s->now = now;
  FtMachine *machine = g_hash_table_lookup (s->machines, direct->machine);
  if (direct->commands->len == 0)
    s->probes_in_flight--;
  if (report != NULL && report->token > s->token)
    return FALSE;
  if (machine == NULL)
    return TRUE;
  machine->command_in_flight = FALSE;
  ft_machine_queue_direct (machine); /* what has come up meanwhile */
  if (result == FT_DIRECT_UNANSWERED
      && (report_overdue (s, machine) || !machine->accounted || ft_machine_deaf (machine)))
    machine->probe_fails++;
  settle_direct (s, machine, direct, result);
  if (report == NULL || g_strcmp0 (report->machine, machine->name) != 0)
    return TRUE;
  if (machine->state != FT_MACHINE_RETURNING || !machine->accounted)
    apply_report (s, machine, report, FALSE);
  /* Refused for its session: ask again at once with the right one. */
  if (result == FT_DIRECT_CONFLICT && !machine->accounted) {
    machine->probe_at = now;
    ft_machine_queue_probe (machine);
  }
  ft_recovery_tick (s);
  return TRUE;
}

/* ---- recovery ---- */

void
ft_scheduler_load_machine (FtScheduler *s, const char *row, const char *name, const char *addr, const char *type,
                           const char *zone, gboolean spot)
{
  FtMachine *known = g_hash_table_lookup (s->machines, name);
  if (known != NULL || g_hash_table_contains (s->gone, name)) {
    ft_roster_loaded (s, row, known);
    return;
  }
  FtMachine *machine = ft_machine_new (s, name, addr, type, zone, spot);
  ft_roster_loaded (s, row, machine);
  /* A former leader that lost the store may have answered it until then. */
  machine->last_answer = s->took_over_at + s->hold_us;
  machine->last_report = s->now;
  g_hash_table_insert (s->machines, machine->name, machine);
}

void
ft_scheduler_loaded (FtScheduler *s, gint64 now)
{
  GHashTableIter it;
  gpointer value;
  s->now = now;
  s->loaded = s->dirty = TRUE;
  s->loaded_at = now;
  g_hash_table_iter_init (&it, s->machines);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    FtMachine *machine = value;
    machine->last_report = machine->last_checkin = now; /* silence counts from here */
    machine->probe_at = now + seconds (FT_PROBE_FIRST_S);
    machine->last_answer = MAX (machine->last_answer, now); /* it may have been answered while we read */
    if (machine->state == FT_MACHINE_BOOTING && machine->in_roster)
      ft_machine_set_state (machine, FT_MACHINE_UP);
  }
  ft_recovery_count (s);
  ft_recovery_tick (s);
}

gboolean
ft_scheduler_is_loaded (const FtScheduler *s)
{
  return s->loaded;
}

/* ---- time ---- */

static void
check_machine (FtScheduler *s, FtMachine *machine)
{
  if (machine->state == FT_MACHINE_GONE)
    return;
  /* A worker that runs has dropped its tasks by now, but one that hangs has
   * not: what was on the machine is over only when a report of a later session
   * comes or the machine is gone. The lapsed session is not used again. */
  if (machine->session > machine->lapsed_session && machine->last_answer > 0
      && s->now > machine->last_answer + ft_machine_lease_us (s)) {
    g_message ("machine %s: worker lease over, session %" G_GUINT64_FORMAT, machine->name, machine->session);
    machine->lapsed_session = machine->session;
  }
  /* Probes alone tell nothing while a report is not due: right after a takeover
   * this controller is busy, and gives back no healthy fleet for its own lateness. */
  gboolean silent = s->now - silent_since (s, machine) > ft_machine_silence_us (s)
                    || (report_overdue (s, machine)
                        && (machine->zone_view->unreachable
                            || machine->probe_fails >= (machine->accounted ? FT_PROBES : FT_PROBES_TAKEOVER)));
  if (machine->state == FT_MACHINE_UP && silent)
    ft_machine_set_state (machine, FT_MACHINE_SILENT);
}

/* What no event tells of: a command that could not be sent when it came up. */
static gboolean
wants_direct (const FtMachine *machine)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, machine->attempts);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    const FtAttempt *a = value;
    if (!a->exited && (a->stop_wanted ? !a->stop_sent : !a->shown))
      return TRUE;
  }
  return FALSE;
}

void
ft_scheduler_tick (FtScheduler *s, gint64 now, gboolean may_start)
{
  GHashTableIter it;
  gpointer value;
  s->now = now;
  s->may_start = may_start;
  if (s->last_tick > 0 && now - s->last_tick > seconds (FT_LATE_TICK_S))
    s->hearing_since = now;
  s->last_tick = now;
  ft_zones_update (s);
  g_hash_table_iter_init (&it, s->machines);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    FtMachine *machine = value;
    check_machine (s, machine);
    if (wants_direct (machine))
      ft_machine_queue_direct (machine);
    if (wants_probe (s, machine))
      ft_machine_queue_probe (machine);
    if (machine->state == FT_MACHINE_GONE && !machine->command_in_flight && !machine->return_in_flight)
      g_hash_table_iter_remove (&it);
  }
  ft_recovery_tick (s);
  ft_placement_pass (s); /* pauses end with time alone */
  if (s->loaded)
    ft_fleet_tick (s);
}

void
ft_scheduler_place (FtScheduler *s, gint64 now, gboolean may_start)
{
  s->now = now;
  s->may_start = may_start;
  /* Many reports come between two passes; what each has freed is filled by its
   * answer, without one. */
  if (s->dirty && now >= s->next_pass)
    ft_placement_pass (s);
}

void
ft_scheduler_late (FtScheduler *s, gint64 now)
{
  s->hearing_since = now;
}

void
ft_scheduler_informed (FtScheduler *s, gint64 at)
{
  s->known_until = MAX (s->known_until, at);
}

void
ft_scheduler_unanswering (FtScheduler *s, gint64 now)
{
  s->answering_since = now;
}

gint64
ft_scheduler_last_heard (const FtScheduler *s)
{
  return s->last_heard;
}

guint
ft_scheduler_looked_at (const FtScheduler *s)
{
  return s->looked_at;
}
