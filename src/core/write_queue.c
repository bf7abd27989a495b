/* What the leader writes to the store: ends of jobs, marks, chunks of done-sets and registry
 * rows, in batches; and what becomes of them once a batch is committed or refused. */
#include "core/scheduler_private.h"

typedef struct {
  GPtrArray *writes;
  guint left;
} Batch;

static gboolean
batch_add (Batch *batch, FtWrite *write)
{
  guint ops = ft_write_ops (write);
  if (ops > batch->left) {
    ft_write_free (write);
    return FALSE;
  }
  batch->left -= ops;
  g_ptr_array_add (batch->writes, write);
  return TRUE;
}

/* Where a transaction holds few changes the registry takes every other one, so that ends of
 * jobs and marks do not wait for a growing fleet. */
static guint
max_registry_rows (FtScheduler *scheduler, const Batch *batch)
{
  gboolean others_turn = scheduler->write_queue.wrote_registry && batch->left <= FT_REGISTRY_ROWS_AT_ONCE
                         && !g_queue_is_empty (&scheduler->write_queue.pending_jobs);
  return others_turn ? 0 : MIN (batch->left, FT_REGISTRY_ROWS_AT_ONCE);
}

static void
add_registry_rows (FtScheduler *scheduler, Batch *batch)
{
  guint before = batch->writes->len;
  ft_registry_writes (&scheduler->registry, batch->writes, max_registry_rows (scheduler, batch));
  batch->left -= batch->writes->len - before;
  scheduler->write_queue.wrote_registry = batch->writes->len > before;
  while (batch->left > 0 && !g_queue_is_empty (&scheduler->registry.drain_deletions)) {
    g_autofree char *name = g_queue_pop_head (&scheduler->registry.drain_deletions);
    batch_add (batch, ft_write_new (FT_WRITE_DRAIN_DELETE, name));
  }
}

static gboolean
job_complete (const FtJob *job)
{
  return job->state == FT_JOB_OPEN && ft_job_finished (job) == job->spec->tasks;
}

/* Rows go only after the watch has shown the cancellation: a wrong hint must not drop an
 * open job, and an older event of the job that comes later must not bring it back. */
static gboolean
job_stopped (const FtJob *job)
{
  if (job->state != FT_JOB_CANCELLING || !job->cancellation_read)
    return FALSE;
  return ft_job_live (job) == 0 && job->counts[FT_TASK_UNKNOWN] == 0 && job->counts[FT_TASK_QUEUED] == 0;
}

static gboolean
wants_watermark (const FtJob *job)
{
  return job->state == FT_JOB_OPEN && job->wanted_watermark > job->spec->dispatch_watermark
         && !job->watermark_in_flight;
}

static void
add_watermark (FtJob *job, Batch *batch)
{
  FtWrite *write = ft_write_new (FT_WRITE_WATERMARK, job->spec->ref);
  write->watermark = job->wanted_watermark;
  write->spec = job->spec;
  write->revision = job->revision;
  job->watermark_in_flight = batch_add (batch, write);
}

/* The tasks that waited for the dispatch watermark can be sent. */
static void
watermark_written (FtJob *job, guint watermark)
{
  job->watermark_in_flight = FALSE;
  for (guint i = job->spec->dispatch_watermark; i < watermark; i++)
    if (job->tasks[i].attempt != NULL)
      ft_machine_queue_direct (job->tasks[i].attempt->machine);
  job->spec->dispatch_watermark = MAX (job->spec->dispatch_watermark, watermark);
}

/* Jobs that have something to write share what done-sets may take of the state service. */
static double
chunk_every_s (const FtScheduler *scheduler)
{
  double rate = scheduler->context.settings->store_write_rps * FT_CHUNK_WRITE_SHARE;
  return MAX (FT_CHUNK_EVERY_S,
              rate > 0 ? g_queue_get_length ((GQueue *) &scheduler->write_queue.pending_jobs) / rate : 0);
}

/* Adds at most that many; how many are left to add. */
static guint
add_chunks (FtScheduler *scheduler, FtJob *job, Batch *batch, guint most)
{
  /* A result stays with its worker until it is committed: a chunk that waits a
   * little covers many, and the end of the job covers all. */
  if (job->state != FT_JOB_OPEN || scheduler->context.now < job->chunk_at || g_hash_table_size (job->dirty_chunks) == 0)
    return most;
  GHashTableIter it;
  gpointer key;
  g_hash_table_iter_init (&it, job->dirty_chunks);
  while (batch->left > 0 && most > 0 && g_hash_table_iter_next (&it, &key, NULL)) {
    FtWrite *write = ft_write_new (FT_WRITE_CHUNK, job->spec->ref);
    write->chunk = GPOINTER_TO_UINT (key);
    write->bits = ft_job_chunk_bits (job, write->chunk);
    write->revision = job->revision;
    if (batch_add (batch, write))
      g_hash_table_iter_remove (&it);
    most--;
  }
  job->chunk_at = scheduler->context.now + (gint64) (chunk_every_s (scheduler) * FT_SECOND);
  return most;
}

/* Nothing of it was ever placed: what it needs was never all done. */
static gboolean
cancelled_by_dependency (const FtJob *job)
{
  return job->state == FT_JOB_WAITING && job->dependency_cancelled;
}

static gboolean
job_ends (const FtJob *job)
{
  return !job->final_in_flight && !job->conflicted
         && (job_complete (job) || job_stopped (job) || cancelled_by_dependency (job));
}

static FtWriteKind
end_kind (const FtJob *job)
{
  if (job_complete (job))
    return FT_WRITE_JOB_DONE;
  return cancelled_by_dependency (job) ? FT_WRITE_JOB_CANCELLED : FT_WRITE_JOB_STOPPED;
}

static void
add_end (FtJob *job, Batch *batch)
{
  FtWrite *write = ft_write_new (end_kind (job), job->spec->ref);
  write->revision = job->revision;
  write->tasks = job->spec->tasks;
  job->final_in_flight = batch_add (batch, write);
}

/* Jobs stay in the queue while they have something to write. */
static void
requeue_pending_jobs (FtScheduler *scheduler)
{
  guint n = g_queue_get_length (&scheduler->write_queue.pending_jobs);
  for (guint i = 0; i < n; i++) {
    FtJob *job = g_queue_pop_head (&scheduler->write_queue.pending_jobs);
    job->write_queued = FALSE;
    if (job_ends (job) || wants_watermark (job)
        || (job->state == FT_JOB_OPEN && g_hash_table_size (job->dirty_chunks) > 0))
      ft_job_queue_write (job);
  }
}

GPtrArray *
ft_scheduler_next_writes (FtScheduler *scheduler, guint ops, gboolean spare, gint64 now)
{
  scheduler->context.now = now;
  Batch batch = { g_ptr_array_new_with_free_func ((GDestroyNotify) ft_write_free), ops };
  if (!ft_recovery_is_loaded (&scheduler->recovery))
    return batch.writes;
  add_registry_rows (scheduler, &batch);
  /* Ends of jobs first: somebody waits for them. */
  for (GList *link = scheduler->write_queue.pending_jobs.head; link != NULL && batch.left > 0; link = link->next)
    if (job_ends (link->data))
      add_end (link->data, &batch);
  for (GList *link = scheduler->write_queue.pending_jobs.head; link != NULL && batch.left > 0; link = link->next)
    if (wants_watermark (link->data))
      add_watermark (link->data, &batch);
  /* Without spare changes each further one would hold up the ends and marks of the next batch. */
  guint chunks = spare ? G_MAXUINT : FT_CHUNKS_WITHOUT_SPARE;
  guint drops = chunks;
  for (GList *link = scheduler->write_queue.pending_jobs.head; link != NULL && batch.left > 0 && chunks > 0;
       link = link->next) {
    const FtJob *job = link->data;
    if (!job->final_in_flight && !job->conflicted && !job_ends (job))
      chunks = add_chunks (scheduler, link->data, &batch, chunks);
  }
  scheduler->context.looked_at += g_queue_get_length (&scheduler->write_queue.pending_jobs);
  requeue_pending_jobs (scheduler);
  for (; batch.left > 0 && drops > 0 && !g_queue_is_empty (&scheduler->write_queue.chunk_deletions); drops--)
    batch_add (&batch, g_queue_pop_head (&scheduler->write_queue.chunk_deletions));
  return batch.writes;
}

static void
chunk_written (FtScheduler *scheduler, const FtWrite *write)
{
  FtJob *job = g_hash_table_lookup (scheduler->job_table.jobs, write->name);
  if (job == NULL)
    return;
  g_hash_table_add (job->written, GUINT_TO_POINTER (write->chunk));
  g_autoptr (GArray) tasks = ft_job_chunk_tasks (job, write->chunk, write->bits);
  for (guint i = 0; i < tasks->len; i++) {
    guint index = g_array_index (tasks, guint, i);
    FtTask *task = &job->tasks[index];
    if (task->state != FT_TASK_FINISHED)
      continue;
    ft_task_set_state (job, index, FT_TASK_DONE);
    FtAttempt *attempt = task->attempt;
    if (attempt != NULL) {
      attempt->forget_ok = TRUE;
      ft_attempt_end (scheduler, attempt);
    }
  }
}

/* Its done-set goes when changes are spare; a leader that finds the rest deletes it too. */
static void
leave_chunks (FtScheduler *scheduler, const FtJob *job)
{
  GHashTableIter it;
  gpointer key;
  g_hash_table_iter_init (&it, job->written);
  while (g_hash_table_iter_next (&it, &key, NULL)) {
    FtWrite *drop = ft_write_new (FT_WRITE_CHUNK_DELETE, job->spec->ref);
    drop->chunk = GPOINTER_TO_UINT (key);
    g_queue_push_tail (&scheduler->write_queue.chunk_deletions, drop);
  }
}

static void
end_written (FtScheduler *scheduler, FtJob *job, FtWriteKind kind)
{
  gboolean done = kind == FT_WRITE_JOB_DONE;
  g_message ("job %s: %s committed", job->spec->ref,
             done                           ? "done"
             : kind == FT_WRITE_JOB_STOPPED ? "end of withdrawal"
                                            : "cancelled with a job that it needs");
  leave_chunks (scheduler, job);
  ft_job_end (scheduler, job, done ? FT_JOB_END_DONE : FT_JOB_END_CANCELLED);
}

static void
write_done (FtScheduler *scheduler, const FtWrite *write)
{
  FtJob *job = g_hash_table_lookup (scheduler->job_table.jobs, write->name);
  switch (write->kind) {
  case FT_WRITE_REGISTRY_ROW:
  case FT_WRITE_REGISTRY_ROW_DELETE:
    ft_registry_written (&scheduler->registry, write, TRUE);
    break;
  case FT_WRITE_WATERMARK:
    if (job != NULL)
      watermark_written (job, write->watermark);
    break;
  case FT_WRITE_CHUNK:
    chunk_written (scheduler, write);
    break;
  case FT_WRITE_JOB_DONE:
  case FT_WRITE_JOB_STOPPED:
  case FT_WRITE_JOB_CANCELLED:
    if (job != NULL)
      end_written (scheduler, job, write->kind);
    break;
  default:
    break;
  }
}

void
ft_scheduler_writes_committed (FtScheduler *scheduler, GPtrArray *writes, gint64 now)
{
  scheduler->context.now = now;
  for (guint i = 0; i < writes->len; i++)
    write_done (scheduler, g_ptr_array_index (writes, i));
}

static void
write_undone (FtScheduler *scheduler, FtWrite *write)
{
  FtJob *job = g_hash_table_lookup (scheduler->job_table.jobs, write->name);
  switch (write->kind) {
  case FT_WRITE_REGISTRY_ROW:
  case FT_WRITE_REGISTRY_ROW_DELETE:
    ft_registry_written (&scheduler->registry, write, FALSE);
    break;
  case FT_WRITE_DRAIN_DELETE:
    g_queue_push_tail (&scheduler->registry.drain_deletions, g_strdup (write->name));
    break;
  case FT_WRITE_WATERMARK:
    if (job == NULL)
      break;
    job->watermark_in_flight = FALSE;
    ft_job_queue_write (job);
    break;
  case FT_WRITE_CHUNK:
    if (job == NULL)
      break;
    g_hash_table_add (job->dirty_chunks, GUINT_TO_POINTER (write->chunk));
    job->chunk_at = scheduler->context.now;
    ft_job_queue_write (job);
    break;
  case FT_WRITE_CHUNK_DELETE: {
    FtWrite *again = ft_write_new (FT_WRITE_CHUNK_DELETE, write->name);
    again->chunk = write->chunk;
    g_queue_push_tail (&scheduler->write_queue.chunk_deletions, again);
    break;
  }
  case FT_WRITE_JOB_DONE:
  case FT_WRITE_JOB_STOPPED:
  case FT_WRITE_JOB_CANCELLED:
    if (job == NULL)
      break;
    job->final_in_flight = FALSE;
    ft_job_queue_write (job);
    break;
  }
}

void
ft_scheduler_writes_failed (FtScheduler *scheduler, GPtrArray *writes, const char *conflicted, gint64 now)
{
  scheduler->context.now = now;
  for (guint i = 0; i < writes->len; i++)
    write_undone (scheduler, g_ptr_array_index (writes, i));
  FtJob *job = conflicted != NULL ? g_hash_table_lookup (scheduler->job_table.jobs, conflicted) : NULL;
  if (job != NULL)
    job->conflicted = TRUE; /* until ft_scheduler_job_conflict_resolved() */
}

/* What its row says is known again; NULL: the job is not. */
static FtJob *
conflict_over (FtScheduler *scheduler, const char *ref, gint64 now)
{
  scheduler->context.now = now;
  FtJob *job = g_hash_table_lookup (scheduler->job_table.jobs, ref);
  if (job == NULL)
    return NULL;
  job->conflicted = FALSE;
  ft_job_queue_write (job);
  return job;
}

void
ft_scheduler_job_still_open (FtScheduler *scheduler, const char *ref, guint64 revision, gint64 now)
{
  FtJob *job = conflict_over (scheduler, ref, now);
  if (job == NULL)
    return;
  g_warning ("job %s: open at another revision than was known", ref);
  job->revision = revision;
}

void
ft_scheduler_job_conflict_resolved (FtScheduler *scheduler, const char *ref, gboolean done, gint64 now)
{
  FtJob *job = conflict_over (scheduler, ref, now);
  if (job == NULL)
    return;
  if (!done) {
    ft_job_cancel (scheduler, job, scheduler->context.now);
    return;
  }
  leave_chunks (scheduler, job);
  ft_job_end (scheduler, job, FT_JOB_END_DONE);
}
