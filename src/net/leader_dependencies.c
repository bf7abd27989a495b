#include "net/leader_dependencies.h"

#include "core/constants.h"
#include "net/leader_request.h"
#include "net/node.h"

/* What the scheduler takes for the age of an end whose row does not tell its time. */
#define AGE_UNKNOWN (-1)

typedef struct {
  FtLeaderRequest base;
  char *ref; /* owned */
} DependencyRequest;

static gint64
age_of_end_us (const FtJobRow *job)
{
  if (job->ended_wall_ms <= 0)
    return AGE_UNKNOWN;
  gint64 wall_ms = g_get_real_time () / FT_MILLISECOND;
  return MAX (0, wall_ms - job->ended_wall_ms) * FT_MILLISECOND;
}

static FtLeaderOutcome
on_dependency (FtLeaderRequest *request, FtStoreResult result, const json_t *body)
{
  const char *ref = ((DependencyRequest *) request)->ref;
  FtNode *node = request->node;
  FtRow row;
  FtJobRow job;
  node->leader.dependency_reads_in_flight--;
  /* Open, or not answered: the scheduler names it again. */
  if (ft_store_read_job (result, body, &row, &job) != FT_STORE_OK || job.open)
    return FT_LEADER_OUTCOME_DONE;
  ft_scheduler_job_end_read (node->leader.scheduler, ref, job.end, age_of_end_us (&job), g_get_monotonic_time ());
  return FT_LEADER_OUTCOME_PROGRESS;
}

static void
send_dependency_request (FtLeaderRequest *request)
{
  g_autofree char *key = ft_key_job (((DependencyRequest *) request)->ref);
  ft_store_client_get (request->node->store, key, FT_STORE_PRIORITY_COMMIT, ft_leader_request_on_store_answer, request);
}

static void
dependency_request_clear (FtLeaderRequest *request)
{
  g_free (((DependencyRequest *) request)->ref);
}

static const FtLeaderRequestKind dependency_kind = {
  .size = sizeof (DependencyRequest),
  .send = send_dependency_request,
  .on_store_answer = on_dependency,
  .clear = dependency_request_clear,
};

void
ft_leader_dependencies_read (FtNode *node, gint64 now)
{
  while (node->leader.dependency_reads_in_flight < FT_DEPENDENCY_READS_MAX) {
    const char *ref = ft_scheduler_next_unread_job (node->leader.scheduler, now);
    if (ref == NULL)
      return;
    DependencyRequest *request = ft_leader_request_new (node, &dependency_kind);
    request->ref = g_strdup (ref);
    node->leader.dependency_reads_in_flight++;
    ft_leader_request_send (&request->base);
  }
}
