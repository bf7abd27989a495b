#include "net/leader_batches.h"

#include "core/constants.h"
#include "core/duration.h"
#include "core/lease.h"
#include "net/leader_request.h"
#include "net/metrics.h"
#include "net/store_answers.h"
#include "net/store_client.h"
#include "wire/store.h"

/* The state of the batch in flight. */
typedef enum {
  FT_BATCH_IDLE,       /* no batch is in flight */
  FT_BATCH_COMMITTING, /* the batch was sent, and its answer is awaited */
  FT_BATCH_UNCERTAIN,  /* the outcome is unknown; a read of the journal row, which shows it, is in flight */
} FtBatchState;

struct _FtLeaderBatches {
  FtLeaderTerm *term; /* borrowed */
  FtBatchState state;
  guint64 journal_revision; /* revision of the journal row, on which the next batch is conditional */
  guint64 last_number;      /* number of the last batch that was sent in this term */
  guint max_operations;     /* of a batch, including the journal row's; lowered when the store refuses a batch */
  gint64 not_before;        /* the next batch is not sent before this time; monotonic, microseconds */
};

/* The request for a batch, or for the journal row that shows whether the batch was applied. */
typedef struct {
  FtLeaderRequest base;
  GPtrArray *writes; /* elements: FtWrite; a reference */
  guint64 number;    /* of the batch, within the term */
} BatchRequest;

/* The read of a job's row, after a batch has failed because the row was not at the expected revision. */
typedef struct {
  FtLeaderRequest base;
  char *ref; /* of the job; owned */
} ConflictedJobRequest;

static void
batch_request_clear (FtLeaderRequest *request)
{
  g_ptr_array_unref (((BatchRequest *) request)->writes);
}

/* Reports the writes to the scheduler as committed or failed; the next batch may be sent afterwards.
 * `conflicted_ref`: the job whose row has changed, or NULL. */
static void
finish_batch (BatchRequest *batch, gboolean applied, const char *conflicted_ref)
{
  FtLeaderBatches *batches = batch->base.owner;
  FtScheduler *scheduler = batches->term->scheduler;
  gint64 now = g_get_monotonic_time ();
  batches->state = FT_BATCH_IDLE;
  if (applied)
    ft_scheduler_writes_committed (scheduler, batch->writes, now);
  else
    ft_scheduler_writes_failed (scheduler, batch->writes, conflicted_ref, now);
}

/* ---- batches with an unknown outcome ---- */

/* The journal row shows whether the batch was applied. If it was not, the next batch changes the journal
 * row, so that a delayed copy of this batch can no longer be applied. */
static FtLeaderOutcome
on_journal (FtLeaderRequest *request, FtStoreResult result, const json_t *body)
{
  BatchRequest *batch = (BatchRequest *) request;
  FtLeaderBatches *batches = request->owner;
  FtRow row;
  if (ft_store_read_row (result, body, &row) != FT_STORE_OK)
    return FT_LEADER_OUTCOME_RETRY;
  FtBatchOutcome outcome = ft_batch_outcome (&row, ft_lease_token (request->term->node->lease), batch->number);
  if (outcome == FT_BATCH_OUTCOME_SUPERSEDED) {
    request->superseded_reason = "the journal row carries another leader's fencing token";
    return FT_LEADER_OUTCOME_SUPERSEDED;
  }
  batches->journal_revision = row.revision;
  finish_batch (batch, outcome == FT_BATCH_OUTCOME_APPLIED, NULL);
  return FT_LEADER_OUTCOME_PROGRESS;
}

static void
send_journal_request (FtLeaderRequest *request)
{
  ft_store_client_get (request->term->node->store, FT_KEY_JOURNAL, FT_STORE_PRIORITY_COMMIT,
                       ft_leader_request_on_store_answer, request);
}

static const FtLeaderRequestKind journal_kind = {
  .size = sizeof (BatchRequest),
  .send = send_journal_request,
  .on_store_answer = on_journal,
  .clear = batch_request_clear,
};

static FtLeaderOutcome
resolve_by_journal (const BatchRequest *batch)
{
  FtLeaderBatches *batches = batch->base.owner;
  BatchRequest *journal_request = ft_leader_request_new (batches->term, &journal_kind, batches);
  journal_request->writes = g_ptr_array_ref (batch->writes);
  journal_request->number = batch->number;
  batches->state = FT_BATCH_UNCERTAIN;
  ft_leader_request_send (&journal_request->base);
  return FT_LEADER_OUTCOME_DONE;
}

/* ---- jobs whose rows have changed ---- */

static FtLeaderOutcome
on_conflicted_job (FtLeaderRequest *request, FtStoreResult result, const json_t *body)
{
  const char *ref = ((ConflictedJobRequest *) request)->ref;
  FtScheduler *scheduler = request->term->scheduler;
  FtRow row;
  FtJobRow job;
  if (ft_store_read_job (result, body, &row, &job) != FT_STORE_OK)
    return FT_LEADER_OUTCOME_RETRY; /* the job keeps its state until its row is read */
  gint64 now = g_get_monotonic_time ();
  if (job.open)
    ft_scheduler_job_still_open (scheduler, ref, row.revision, now);
  else
    ft_scheduler_job_conflict_resolved (scheduler, ref, job.end == FT_JOB_END_DONE, now);
  return FT_LEADER_OUTCOME_PROGRESS;
}

static void
send_conflicted_job_request (FtLeaderRequest *request)
{
  g_autofree char *key = ft_key_job (((ConflictedJobRequest *) request)->ref);
  ft_store_client_get (request->term->node->store, key, FT_STORE_PRIORITY_COMMIT, ft_leader_request_on_store_answer,
                       request);
}

static void
conflicted_job_request_clear (FtLeaderRequest *request)
{
  g_free (((ConflictedJobRequest *) request)->ref);
}

static const FtLeaderRequestKind conflicted_job_kind = {
  .size = sizeof (ConflictedJobRequest),
  .send = send_conflicted_job_request,
  .on_store_answer = on_conflicted_job,
  .clear = conflicted_job_request_clear,
};

static void
read_conflicted_job (FtLeaderBatches *batches, const char *ref)
{
  ConflictedJobRequest *request = ft_leader_request_new (batches->term, &conflicted_job_kind, batches);
  request->ref = g_strdup (ref);
  ft_leader_request_send (&request->base);
}

/* ---- answers to a batch ---- */

/* Delays the next batch after an answer from which it cannot be told what the next batch should do differently: it
 * would probably get the same answer at once. */
static void
pause_batches (FtLeaderBatches *batches)
{
  batches->not_before = ft_leader_first_retry_at (batches->term);
}

/* Handles the refusal of a batch because one of its conditions did not hold. */
static FtLeaderOutcome
on_batch_conflict (BatchRequest *batch, const json_t *body)
{
  const char *ref;
  switch (ft_store_batch_conflict (body, batch->writes, &ref)) {
  case FT_BATCH_CONFLICT_FENCE:
    batch->base.superseded_reason = "another controller has changed the fence row";
    return FT_LEADER_OUTCOME_SUPERSEDED;
  case FT_BATCH_CONFLICT_JOURNAL:
    return resolve_by_journal (batch);
  case FT_BATCH_CONFLICT_JOB:
    read_conflicted_job (batch->base.owner, ref);
    break;
  case FT_BATCH_CONFLICT_UNKNOWN:
    pause_batches (batch->base.owner);
    break;
  }
  finish_batch (batch, FALSE, ref);
  return FT_LEADER_OUTCOME_PROGRESS;
}

static void
shrink_batches (FtLeaderBatches *batches)
{
  batches->max_operations = MAX (FT_TXN_OPS_MIN, batches->max_operations / 2);
}

/* Makes the following batches smaller: the store will never accept this batch, and its limits may have
 * changed. */
static FtLeaderOutcome
on_batch_invalid (BatchRequest *batch)
{
  FtLeaderBatches *batches = batch->base.owner;
  const FtNode *node = batches->term->node;
  ft_metrics_count (node->metrics, FT_COUNT_BATCHES_INVALID);
  g_warning ("node %s: the key-value store refused a batch of %u writes as invalid: batches get smaller",
             node->config->member, batch->writes->len);
  shrink_batches (batches);
  ft_scheduler_lower_value_limit (batches->term->scheduler);
  batches->not_before = g_get_monotonic_time () + ft_seconds (FT_BATCH_INVALID_PAUSE_S);
  finish_batch (batch, FALSE, NULL);
  return FT_LEADER_OUTCOME_PROGRESS;
}

/* Handles a batch that the store refused without executing it. `too_large`: the store may allow
 * fewer changes per second than the batch makes, and would then never accept a batch of this size. */
static FtLeaderOutcome
on_batch_not_executed (BatchRequest *batch, gboolean too_large)
{
  FtLeaderBatches *batches = batch->base.owner;
  if (too_large)
    shrink_batches (batches);
  pause_batches (batches);
  finish_batch (batch, FALSE, NULL);
  return FT_LEADER_OUTCOME_PROGRESS;
}

/* Handles an answer that neither confirms nor refuses the batch, or the lack of one. */
static FtLeaderOutcome
on_batch_uncertain (BatchRequest *batch, FtStoreResult result)
{
  FtLeaderBatches *batches = batch->base.owner;
  ft_metrics_count (batches->term->node->metrics, FT_COUNT_BATCHES_UNCERTAIN);
  if (result == FT_STORE_FAILED)
    pause_batches (batches);
  return resolve_by_journal (batch);
}

static FtLeaderOutcome
on_batch_committed (BatchRequest *batch, guint64 revision)
{
  FtLeaderBatches *batches = batch->base.owner;
  const FtNode *node = batches->term->node;
  batches->journal_revision = revision;
  ft_metrics_count (node->metrics, FT_COUNT_BATCHES);
  ft_metrics_record_latency (node->metrics, FT_LATENCY_BATCH, g_get_monotonic_time () - batch->base.created_at);
  finish_batch (batch, TRUE, NULL);
  return FT_LEADER_OUTCOME_PROGRESS;
}

static FtLeaderOutcome
on_batch_answer (FtLeaderRequest *request, FtStoreResult result, const json_t *body)
{
  BatchRequest *batch = (BatchRequest *) request;
  guint64 revision;
  FtStoreResult read = ft_store_read_revision (result, body, &revision);
  switch (read) {
  case FT_STORE_OK:
    return on_batch_committed (batch, revision);
  case FT_STORE_CONFLICT:
    return on_batch_conflict (batch, body);
  case FT_STORE_THROTTLED:
    return on_batch_not_executed (batch, TRUE);
  case FT_STORE_UNAVAILABLE:
    return on_batch_not_executed (batch, FALSE);
  case FT_STORE_INVALID:
    return on_batch_invalid (batch);
  case FT_STORE_NOT_FOUND:
  case FT_STORE_COMPACTED:
  case FT_STORE_UNANSWERED:
  case FT_STORE_FAILED:
  case FT_STORE_MALFORMED:
  default:
    return on_batch_uncertain (batch, read);
  }
}

/* ---- sending ---- */

static void
send_batch_request (FtLeaderRequest *request)
{
  const BatchRequest *batch = (const BatchRequest *) request;
  FtLeaderBatches *batches = request->owner;
  const FtNode *node = request->term->node;
  FtBatchHeader header = {
    .token = ft_lease_token (node->lease),
    .number = batch->number,
    .fence_revision = ft_lease_fence_revision (node->lease),
    .journal_revision = batches->journal_revision,
  };
  json_t *txn = ft_txn_write_batch (&header, batch->writes, g_get_real_time () / FT_MILLISECOND);
  batches->state = FT_BATCH_COMMITTING;
  ft_store_client_commit (node->store, txn, FT_STORE_PRIORITY_COMMIT, ft_leader_request_on_store_answer, request);
  json_decref (txn);
}

static const FtLeaderRequestKind batch_kind = {
  .size = sizeof (BatchRequest),
  .send = send_batch_request,
  .on_store_answer = on_batch_answer,
  .clear = batch_request_clear,
};

FtLeaderBatches *
ft_leader_batches_new (FtLeaderTerm *term)
{
  FtLeaderBatches *batches = g_new0 (FtLeaderBatches, 1);
  batches->term = term;
  return batches;
}

void
ft_leader_batches_free (FtLeaderBatches *batches)
{
  g_free (batches);
}

void
ft_leader_batches_begin (FtLeaderBatches *batches, guint64 journal_revision)
{
  *batches = (FtLeaderBatches){
    .term = batches->term,
    .journal_revision = journal_revision,
    .max_operations = batches->term->node->config->core.txn_ops,
  };
}

void
ft_leader_batches_commit (FtLeaderBatches *batches, gint64 now)
{
  if (batches->state != FT_BATCH_IDLE || now < batches->not_before)
    return;
  guint max_writes = batches->max_operations - 1; /* the journal row takes one operation */
  guint spare_writes = ft_store_client_has_spare_writes (batches->term->node->store);
  g_autoptr (GPtrArray) writes = ft_scheduler_next_writes (batches->term->scheduler, max_writes, spare_writes, now);
  if (writes->len == 0)
    return;
  BatchRequest *batch = ft_leader_request_new (batches->term, &batch_kind, batches);
  batch->writes = g_steal_pointer (&writes);
  batch->number = ++batches->last_number;
  ft_leader_request_send (&batch->base);
}
