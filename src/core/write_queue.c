#include "core/write_queue.h"

void
ft_write_queue_init (FtWriteQueue *queue, FtCoreContext *context, FtJobTable *job_table, FtRegistry *registry)
{
  queue->context = context;
  queue->job_table = job_table;
  queue->registry = registry;
  g_queue_init (&queue->chunk_deletions);
}

void
ft_write_queue_clear (FtWriteQueue *queue)
{
  g_queue_clear_full (&queue->chunk_deletions, (GDestroyNotify) ft_write_free);
}

void
ft_write_queue_delete_chunk (FtWriteQueue *queue, const char *ref, guint chunk)
{
  FtWrite *deletion = ft_write_new (FT_WRITE_CHUNK_DELETE, ref);
  deletion->chunk = chunk;
  g_queue_push_tail (&queue->chunk_deletions, deletion);
}

/* ---- the batch ---- */

/* A batch that is being formed. */
typedef struct {
  GPtrArray *writes; /* FtWrite, owned: the writes of the batch */
  guint ops_left;    /* changes that the batch still has room for */
} Batch;

/* Adds the write to the batch, which owns it then. Returns FALSE, and frees the write, if the batch has no room. */
static gboolean
batch_add (Batch *batch, FtWrite *write)
{
  guint ops = ft_write_ops (write);
  if (ops > batch->ops_left) {
    ft_write_free (write);
    return FALSE;
  }
  batch->ops_left -= ops;
  g_ptr_array_add (batch->writes, write);
  return TRUE;
}

/* Returns how many registry rows the batch may take. If a transaction holds few changes and jobs wait to be written,
 * the registry takes part in every other batch only: a growing fleet must not delay the ends of jobs and the dispatch
 * watermarks. */
static guint
max_registry_rows (const FtWriteQueue *queue, const Batch *batch)
{
  gboolean skip_registry = queue->wrote_registry && batch->ops_left <= FT_REGISTRY_ROWS_AT_ONCE
                           && queue->job_table->pending_writes.length > 0;
  return skip_registry ? 0 : MIN (batch->ops_left, FT_REGISTRY_ROWS_AT_ONCE);
}

static void
add_registry_rows (FtWriteQueue *queue, Batch *batch)
{
  guint before = batch->writes->len;
  ft_registry_collect_writes (queue->registry, batch->writes, max_registry_rows (queue, batch));
  batch->ops_left -= batch->writes->len - before;
  queue->wrote_registry = batch->writes->len > before;
  while (batch->ops_left > 0 && !g_queue_is_empty (&queue->registry->drain_deletions)) {
    g_autofree char *name = g_queue_pop_head (&queue->registry->drain_deletions);
    batch_add (batch, ft_write_new (FT_WRITE_DRAIN_DELETE, name));
  }
}

/* ---- ends of jobs ---- */

static gboolean
job_complete (const FtJob *job)
{
  return job->state == FT_JOB_OPEN && ft_job_finished_tasks (job) == job->spec->tasks;
}

/* Returns whether a cancelled job has stopped, so that its end can be written. That write deletes the job's rows, so
 * the row of the cancellation must have been read from the store: a cancellation that only a peer reported must not
 * delete the rows of an open job, and an older event of the job that arrives later must not open it again. */
static gboolean
job_stopped (const FtJob *job)
{
  if (job->state != FT_JOB_CANCELLING || !job->cancellation_read)
    return FALSE;
  return ft_job_bound_tasks (job) == 0 && job->counts[FT_TASK_UNKNOWN] == 0 && job->counts[FT_TASK_QUEUED] == 0;
}

/* Returns whether the job is to end because a dependency is cancelled. No task of it was ever placed, since its
 * dependencies were never all done. */
static gboolean
cancelled_by_dependency (const FtJob *job)
{
  return job->state == FT_JOB_WAITING && job->dependency_cancelled;
}

/* Returns whether the job's end is to be written now. */
static gboolean
end_due (const FtJob *job)
{
  return job->end_write == FT_JOB_END_WRITE_IDLE
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
  if (batch_add (batch, write))
    ft_job_set_end_write (job, FT_JOB_END_WRITE_IN_FLIGHT);
}

/* ---- dispatch watermarks ---- */

/* Returns whether a raised dispatch watermark of the job is to be written now. */
static gboolean
watermark_due (const FtJob *job)
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

/* ---- chunks of done-sets ---- */

/* Returns the time between two writes of chunks of the same job, in microseconds. All jobs that have changes to write
 * share the part of the store's capacity that done-sets may use. */
static gint64
chunk_period_us (const FtWriteQueue *queue)
{
  double rate = queue->context->settings->store_write_rps * FT_CHUNK_WRITE_SHARE;
  double fair_period_s = rate > 0 ? queue->job_table->pending_writes.length / rate : 0;
  return ft_seconds (MAX (FT_CHUNK_EVERY_S, fair_period_s));
}

/* Returns whether chunks of the job's done-set are to be written now. Workers keep results until they are committed, so
 * the write can wait: a later write of a chunk covers more results, and the end of the job covers all of them. */
static gboolean
chunks_due (const FtWriteQueue *queue, const FtJob *job)
{
  return job->state == FT_JOB_OPEN && job->end_write == FT_JOB_END_WRITE_IDLE && !end_due (job)
         && queue->context->now >= job->next_chunk_write_at && g_hash_table_size (job->dirty_chunks) > 0;
}

/* Adds at most `max_chunks` chunks of the job. Returns how many chunks of other jobs may still be added. */
static guint
add_chunks (const FtWriteQueue *queue, FtJob *job, Batch *batch, guint max_chunks)
{
  GHashTableIter it;
  gpointer key;
  g_hash_table_iter_init (&it, job->dirty_chunks);
  while (batch->ops_left > 0 && max_chunks > 0 && g_hash_table_iter_next (&it, &key, NULL)) {
    FtWrite *write = ft_write_new (FT_WRITE_CHUNK, job->spec->ref);
    write->chunk = GPOINTER_TO_UINT (key);
    write->bits = ft_job_chunk_bits (job, write->chunk);
    write->revision = job->revision;
    if (batch_add (batch, write))
      g_hash_table_iter_remove (&it);
    max_chunks--;
  }
  job->next_chunk_write_at = queue->context->now + chunk_period_us (queue);
  return max_chunks;
}

/* ---- forming a batch ---- */

/* Adds the ends of jobs first, since users wait for them, and then the watermarks, since starts wait for them. */
static void
add_ends_and_watermarks (FtWriteQueue *queue, Batch *batch)
{
  const GQueue *jobs = &queue->job_table->pending_writes;
  for (GList *link = jobs->head; link != NULL && batch->ops_left > 0; link = link->next)
    if (end_due (link->data))
      add_end (link->data, batch);
  for (GList *link = jobs->head; link != NULL && batch->ops_left > 0; link = link->next)
    if (watermark_due (link->data))
      add_watermark (link->data, batch);
}

static void
add_done_sets (FtWriteQueue *queue, Batch *batch, guint max_chunks)
{
  const GQueue *jobs = &queue->job_table->pending_writes;
  for (GList *link = jobs->head; link != NULL && batch->ops_left > 0 && max_chunks > 0; link = link->next)
    if (chunks_due (queue, link->data))
      max_chunks = add_chunks (queue, link->data, batch, max_chunks);
}

/* Returns whether the job has changes to write, now or later. */
static gboolean
has_changes (const FtJob *job)
{
  return end_due (job) || watermark_due (job)
         || (job->state == FT_JOB_OPEN && g_hash_table_size (job->dirty_chunks) > 0);
}

/* Removes the jobs that have no more changes to write from the queue. */
static void
requeue_pending_jobs (FtWriteQueue *queue)
{
  GQueue *jobs = &queue->job_table->pending_writes;
  guint n = g_queue_get_length (jobs);
  queue->context->examined_count += n;
  for (guint i = 0; i < n; i++) {
    FtJob *job = g_queue_pop_head (jobs);
    job->write_queued = FALSE;
    if (has_changes (job))
      ft_job_queue_write (job);
  }
}

static void
add_chunk_deletions (FtWriteQueue *queue, Batch *batch, guint max_chunks)
{
  for (; batch->ops_left > 0 && max_chunks > 0 && !g_queue_is_empty (&queue->chunk_deletions); max_chunks--)
    batch_add (batch, g_queue_pop_head (&queue->chunk_deletions));
}

GPtrArray *
ft_write_queue_next (FtWriteQueue *queue, guint ops, gboolean spare)
{
  Batch batch = { g_ptr_array_new_with_free_func ((GDestroyNotify) ft_write_free), ops };
  /* If the store has no capacity to spare, more chunks would delay the ends and the watermarks of the next batch. */
  guint max_chunks = spare ? G_MAXUINT : FT_CHUNKS_WITHOUT_SPARE;
  add_registry_rows (queue, &batch);
  add_ends_and_watermarks (queue, &batch);
  add_done_sets (queue, &batch, max_chunks);
  requeue_pending_jobs (queue);
  add_chunk_deletions (queue, &batch, max_chunks);
  return batch.writes;
}
