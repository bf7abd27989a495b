/* The result of a batch of the write queue: what follows when it is committed, or refused, or in conflict. */
#include "core/attempt_lifecycle.h"
#include "core/write_queue.h"

/* ---- a batch is committed ---- */

/* Records a committed dispatch watermark: the tasks below it can be sent now. */
static void
watermark_committed (FtJob *job, guint watermark)
{
  job->watermark_in_flight = FALSE;
  for (guint i = job->spec->dispatch_watermark; i < watermark; i++)
    if (job->tasks[i].attempt != NULL)
      ft_machine_queue_direct_request (job->tasks[i].attempt->machine);
  job->spec->dispatch_watermark = MAX (job->spec->dispatch_watermark, watermark);
}

/* Records a committed chunk: the tasks that it marks are done, and their attempts end. */
static void
chunk_committed (FtJob *job, const FtWrite *write)
{
  g_hash_table_add (job->stored_chunks, GUINT_TO_POINTER (write->chunk));
  g_autoptr (GArray) tasks = ft_job_chunk_tasks (job, write->chunk, write->bits);
  for (guint i = 0; i < tasks->len; i++) {
    guint index = g_array_index (tasks, guint, i);
    FtTask *task = &job->tasks[index];
    if (task->state != FT_TASK_FINISHED)
      continue;
    ft_task_set_state (job, index, FT_TASK_DONE);
    FtAttempt *attempt = task->attempt;
    if (attempt != NULL)
      ft_attempt_result_committed (attempt);
  }
}

/* Queues the deletion of the job's done-set, which is deleted when the store has capacity to spare. A later leader that
 * finds chunks that are left over deletes them too. */
static void
delete_chunks (FtWriteQueue *queue, const FtJob *job)
{
  GHashTableIter it;
  gpointer key;
  g_hash_table_iter_init (&it, job->stored_chunks);
  while (g_hash_table_iter_next (&it, &key, NULL))
    ft_write_queue_delete_chunk (queue, job->spec->ref, GPOINTER_TO_UINT (key));
}

static const char *
end_reason (FtWriteKind kind)
{
  switch (kind) {
  case FT_WRITE_JOB_DONE:
    return "done";
  case FT_WRITE_JOB_STOPPED:
    return "cancelled, all tasks stopped";
  default:
    return "a dependency is cancelled";
  }
}

/* Ends the job, since the write of its end is committed. */
static void
end_committed (FtWriteQueue *queue, FtJob *job, FtWriteKind kind)
{
  g_message ("job %s: end committed (%s)", job->spec->ref, end_reason (kind));
  delete_chunks (queue, job);
  ft_job_table_end (queue->job_table, job, kind == FT_WRITE_JOB_DONE ? FT_JOB_END_DONE : FT_JOB_END_CANCELLED);
}

static void
job_write_committed (FtWriteQueue *queue, FtJob *job, const FtWrite *write)
{
  switch (write->kind) {
  case FT_WRITE_WATERMARK:
    watermark_committed (job, write->watermark);
    break;
  case FT_WRITE_CHUNK:
    chunk_committed (job, write);
    break;
  case FT_WRITE_JOB_DONE:
  case FT_WRITE_JOB_STOPPED:
  case FT_WRITE_JOB_CANCELLED:
    end_committed (queue, job, write->kind);
    break;
  default:
    break;
  }
}

static gboolean
is_registry_write (const FtWrite *write)
{
  return write->kind == FT_WRITE_REGISTRY_ROW || write->kind == FT_WRITE_REGISTRY_ROW_DELETE;
}

void
ft_write_queue_committed (FtWriteQueue *queue, const GPtrArray *writes)
{
  for (guint i = 0; i < writes->len; i++) {
    const FtWrite *write = g_ptr_array_index (writes, i);
    FtJob *job = ft_job_table_find (queue->job_table, write->name);
    if (is_registry_write (write))
      ft_registry_write_finished (queue->registry, write, TRUE);
    else if (job != NULL)
      job_write_committed (queue, job, write);
  }
}

/* ---- a batch is refused ---- */

static void
job_write_failed (FtWriteQueue *queue, FtJob *job, const FtWrite *write)
{
  switch (write->kind) {
  case FT_WRITE_WATERMARK:
    job->watermark_in_flight = FALSE;
    break;
  case FT_WRITE_CHUNK:
    g_hash_table_add (job->dirty_chunks, GUINT_TO_POINTER (write->chunk));
    job->next_chunk_write_at = queue->context->now;
    break;
  case FT_WRITE_JOB_DONE:
  case FT_WRITE_JOB_STOPPED:
  case FT_WRITE_JOB_CANCELLED:
    ft_job_set_end_write (job, FT_JOB_END_WRITE_IDLE);
    break;
  default:
    return;
  }
  ft_job_queue_write (job);
}

static void
write_failed (FtWriteQueue *queue, const FtWrite *write)
{
  FtJob *job = ft_job_table_find (queue->job_table, write->name);
  if (is_registry_write (write))
    ft_registry_write_finished (queue->registry, write, FALSE);
  else if (write->kind == FT_WRITE_DRAIN_DELETE)
    g_queue_push_tail (&queue->registry->drain_deletions, g_strdup (write->name));
  else if (write->kind == FT_WRITE_CHUNK_DELETE)
    ft_write_queue_delete_chunk (queue, write->name, write->chunk);
  else if (job != NULL)
    job_write_failed (queue, job, write);
}

void
ft_write_queue_failed (FtWriteQueue *queue, const GPtrArray *writes, const char *conflicted)
{
  for (guint i = 0; i < writes->len; i++)
    write_failed (queue, g_ptr_array_index (writes, i));
  FtJob *job = conflicted != NULL ? ft_job_table_find (queue->job_table, conflicted) : NULL;
  if (job != NULL)
    ft_job_set_end_write (job, FT_JOB_END_WRITE_CONFLICTED);
}

/* ---- conflicts ---- */

/* Ends the conflict of a job whose state row has been read. Returns the job; NULL if it is not open any more. */
static FtJob *
end_conflict (FtWriteQueue *queue, const char *ref)
{
  FtJob *job = ft_job_table_find (queue->job_table, ref);
  if (job == NULL)
    return NULL;
  if (job->end_write == FT_JOB_END_WRITE_CONFLICTED)
    ft_job_set_end_write (job, FT_JOB_END_WRITE_IDLE);
  ft_job_queue_write (job);
  return job;
}

void
ft_write_queue_job_still_open (FtWriteQueue *queue, const char *ref, guint64 revision)
{
  FtJob *job = end_conflict (queue, ref);
  if (job == NULL)
    return;
  g_warning ("job %s: open at revision %" G_GUINT64_FORMAT ", not at the expected revision %" G_GUINT64_FORMAT, ref,
             revision, job->revision);
  job->revision = revision;
}

void
ft_write_queue_conflict_resolved (FtWriteQueue *queue, const char *ref, gboolean done)
{
  FtJob *job = end_conflict (queue, ref);
  if (job == NULL)
    return;
  if (!done) {
    ft_job_table_cancel (queue->job_table, job, queue->context->now);
    return;
  }
  delete_chunks (queue, job);
  ft_job_table_end (queue->job_table, job, FT_JOB_END_DONE);
}
