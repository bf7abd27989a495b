#include "core/placement.h"

#include "core/attempt_lifecycle.h"
#include "core/placement_rank.h"
#include "core/placement_search.h"

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
  FtUnreconciledCapacity unreconciled;
  ft_recovery_unreconciled_capacity (placement->recovery, &unreconciled.cpus, &unreconciled.gpus);
  return ft_quota_tasks_left (team, spec, &unreconciled);
}

/* Returns TRUE if the job is open, has queued tasks and its `not_before` has passed. */
static gboolean
has_tasks_to_place (const FtPlacement *placement, const FtJob *job)
{
  return job->state == FT_JOB_OPEN && job->counts[FT_TASK_QUEUED] > 0 && job->not_before <= placement->context->now;
}

/* Collects and sorts the open jobs for a pass. */
static void
collect_jobs (FtPlacement *placement)
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
  placement->context->examined_count += placement->order->len;
  ft_quota_mark_guaranteed (placement->quota, placement->order);
  g_ptr_array_sort (placement->order, ft_placement_rank_jobs);
  g_ptr_array_set_size (placement->waiting, 0);
  for (guint i = 0; i < placement->order->len; i++)
    if (has_tasks_to_place (placement, g_ptr_array_index (placement->order, i)))
      g_ptr_array_add (placement->waiting, g_ptr_array_index (placement->order, i));
}

/* Returns the lowest index of a queued task whose `not_before` has passed; the number of tasks if there is none. */
static guint
next_queued_task (FtJob *job, gint64 now)
{
  guint i = job->scan_from;
  while (i < job->spec->tasks && job->tasks[i].state != FT_TASK_QUEUED)
    i++;
  job->scan_from = i;
  while (i < job->spec->tasks && !(job->tasks[i].state == FT_TASK_QUEUED && job->tasks[i].not_before <= now))
    i++;
  return i;
}

/* Returns a new attempt number. The leader's fencing token is in the upper bits, so attempt numbers also increase from
 * one leader to the next. */
static guint64
next_attempt (FtPlacement *placement)
{
  return (placement->context->token << FT_ATTEMPT_BITS) + placement->next_attempt++;
}

/* Raises the job's dispatch watermark above the index of a placed task. The task is sent only after the raised
 * watermark is committed. After the first time, the watermark is raised by more than one task, so that one write covers
 * many tasks that are placed one by one. */
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

/* Makes an attempt with the number `id` for the task on the machine, and queues its start. */
static void
place_task (FtPlacement *placement, FtJob *job, guint index, FtMachine *machine, guint64 id)
{
  FtAttempt *attempt = ft_attempt_new (machine, job, job->spec->ref, index, id);
  ft_attempt_reserve (attempt);
  ft_attempt_bind (attempt, FT_TASK_STARTING);
  attempt->placed_at = placement->context->now;
  attempt->placed_pass = placement->pass;
  raise_watermark (job, index);
  ft_machine_queue_direct_request (machine);
  g_message ("task %s/%u: placed on %s attempt %" G_GUINT64_FORMAT, job->spec->ref, index, machine->name, id);
}

/* Returns TRUE if all unfinished tasks of the gang are queued and the quota allows them. If a gang has lost a task, its
 * other tasks cannot continue: they are stopped, and the gang starts again with all of its tasks. */
static gboolean
gang_may_be_placed (FtPlacement *placement, FtJob *job)
{
  guint unfinished = job->spec->tasks - ft_job_finished_tasks (job);
  if (job->counts[FT_TASK_QUEUED] == unfinished)
    return ft_placement_quota_left (placement, job->team, job->spec) >= unfinished;
  if (job->counts[FT_TASK_UNKNOWN] > 0 || job->spec->kind == FT_KIND_SERVICE)
    return FALSE;
  for (guint i = 0; i < job->spec->tasks; i++) {
    FtAttempt *attempt = job->tasks[i].attempt;
    if (attempt != NULL && !ft_attempt_has_exited (attempt))
      ft_attempt_request_stop (attempt, job->spec->checkpoint_interval_s > 0 ? job->spec->checkpoint_duration_s : 0);
  }
  return FALSE;
}

/* Ends the attempts that this pass has made for a gang that did not fit as a whole. None of their starts has been
 * sent. */
static void
end_placed_attempts (FtPlacement *placement, FtJob *job)
{
  for (guint i = 0; i < job->spec->tasks; i++) {
    FtAttempt *attempt = job->tasks[i].attempt;
    if (attempt != NULL && attempt->placed_pass == placement->pass)
      ft_attempt_end (attempt);
  }
}

/* Places up to `most` tasks of the job on the machine, while tasks are queued, the machine has room and the team's
 * quota allows them. Returns the number of placed tasks. */
static guint
place_on_machine (FtPlacement *placement, FtJob *job, FtMachine *machine, guint most)
{
  guint placed = 0;
  while (placed < most && ft_machine_room (machine, job->spec) > 0
         && ft_placement_quota_left (placement, job->team, job->spec) > 0) {
    guint index = next_queued_task (job, placement->context->now);
    if (index >= job->spec->tasks || ft_placement_search_avoids (placement->context, &job->tasks[index], machine))
      break;
    place_task (placement, job, index, machine, next_attempt (placement));
    placed++;
  }
  return placed;
}

/* Places as many tasks of an array or a service as fit, machine by machine: tasks of a job on the same machine share
 * one fetch of their image and one command. Returns the number of placed tasks. */
static guint
place_array (FtPlacement *placement, FtJob *job, FtPlacementSearch *search)
{
  FtTaskZones zones;
  guint placed = 0;
  gboolean zoned = job->spec->one_zone || job->spec->spread;
  /* Unknown tasks may be in any zone, so the job waits until they are found. */
  if (zoned && job->counts[FT_TASK_UNKNOWN] > 0)
    return 0;
  ft_task_zones_find (&zones, job);
  while (placed < FT_PASS_TASKS_MAX && ft_placement_quota_left (placement, job->team, job->spec) > 0) {
    guint index = next_queued_task (job, placement->context->now);
    if (index >= job->spec->tasks)
      break;
    FtMachine *machine = ft_placement_search_best (search, job, &job->tasks[index], &zones);
    if (machine == NULL) {
      job->no_room_pass = placement->pass;
      break;
    }
    guint n = place_on_machine (placement, job, machine, zoned ? 1 : FT_PASS_TASKS_MAX - placed);
    if (n == 0)
      break;
    placed += n;
    if (zoned) {
      ft_task_zones_clear (&zones);
      ft_task_zones_find (&zones, job);
    }
  }
  ft_task_zones_clear (&zones);
  return placed;
}

/* Places all tasks of a gang, under one attempt number, or none. Returns the number of placed tasks. */
static guint
place_gang (FtPlacement *placement, FtJob *job, FtPlacementSearch *search)
{
  FtTaskZones zones;
  guint placed = 0;
  if (!gang_may_be_placed (placement, job))
    return 0;
  guint64 id = next_attempt (placement);
  for (;;) {
    guint index = next_queued_task (job, placement->context->now);
    if (index >= job->spec->tasks || ft_placement_quota_left (placement, job->team, job->spec) == 0)
      break;
    ft_task_zones_find (&zones, job);
    FtMachine *machine = ft_placement_search_best (search, job, &job->tasks[index], &zones);
    ft_task_zones_clear (&zones);
    if (machine == NULL) {
      job->no_room_pass = placement->pass;
      break;
    }
    place_task (placement, job, index, machine, id);
    placed++;
  }
  if (job->counts[FT_TASK_QUEUED] == 0)
    return placed;
  end_placed_attempts (placement, job);
  return 0;
}

static guint
place_job (FtPlacement *placement, FtJob *job, FtPlacementSearch *search)
{
  return job->spec->kind == FT_KIND_GANG ? place_gang (placement, job, search) : place_array (placement, job, search);
}

void
ft_placement_pass (FtPlacement *placement)
{
  FtPlacementSearch search;
  placement->context->placement_due = FALSE;
  placement->pass++;
  placement->next_pass = placement->context->now + ft_seconds (FT_PASS_EVERY_S);
  collect_jobs (placement);
  if (!placement->context->may_start || !ft_recovery_is_loaded (placement->recovery) || placement->waiting->len == 0)
    return;
  ft_placement_search_init (&search, placement->context, placement->spot_risk, placement->machine_table);
  guint placed = 0, preempt_jobs = placement->context->now >= placement->next_preempt ? 0 : FT_PREEMPT_JOBS_MAX;
  for (guint i = 0; i < placement->waiting->len && placed < FT_PASS_TASKS_MAX; i++) {
    FtJob *job = g_ptr_array_index (placement->waiting, i);
    placed += place_job (placement, job, &search);
    if (job->no_room_pass == placement->pass && job->counts[FT_TASK_QUEUED] > 0 && preempt_jobs < FT_PREEMPT_JOBS_MAX) {
      ft_preempt_for_job (placement->preemption, job, ft_placement_quota_left (placement, job->team, job->spec));
      preempt_jobs++;
      placement->next_preempt = placement->context->now + ft_seconds (FT_PREEMPT_EVERY_S);
    }
  }
  ft_placement_search_clear (&search);
  ft_preempt_end_pass (placement->preemption);
  if (placed >= FT_PASS_TASKS_MAX)
    placement->context->placement_due = TRUE;
}

void
ft_placement_fill (FtPlacement *placement, FtMachine *machine)
{
  if (!placement->context->may_start || !ft_recovery_is_loaded (placement->recovery) || !ft_machine_usable (machine))
    return;
  for (guint i = 0, examined = 0; i < placement->waiting->len && examined < FT_FILL_JOBS_MAX; i++) {
    FtJob *job = g_ptr_array_index (placement->waiting, i);
    if (!has_tasks_to_place (placement, job))
      continue;
    examined++;
    placement->context->examined_count++;
    gboolean plain = job->spec->kind != FT_KIND_GANG && !job->spec->one_zone && !job->spec->spread;
    if (plain && ft_machine_allowed (machine, job->spec))
      place_on_machine (placement, job, machine, FT_PASS_TASKS_MAX);
  }
}

void
ft_placement_job_removed (FtPlacement *placement, FtJob *job)
{
  g_ptr_array_remove (placement->order, job);
  g_ptr_array_remove (placement->waiting, job);
}
