#include "net/leader_dependencies.h"

#include "core/constants.h"
#include "net/leader_request.h"
#include "net/store_answers.h"
#include "net/store_client.h"
#include "wire/store.h"

/* The age of a job's end that is reported to the scheduler if the job's row does not say when the job
 * ended. */
#define AGE_UNKNOWN (-1)

struct _FtLeaderDependencies {
  FtLeaderTerm *term; /* borrowed */
  guint in_flight;    /* reads that await an answer */
};

/* The read of the row of a job on which others depend. */
typedef struct {
  FtLeaderRequest base;
  char *ref; /* of the job; owned */
} DependencyRequest;

/* Returns how long ago the job ended, in microseconds; AGE_UNKNOWN if its row does not say. */
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
  FtLeaderDependencies *dependencies = request->owner;
  FtRow row;
  FtJobRow job;
  dependencies->in_flight--;
  /* If the read failed or the job is still open, the scheduler requests the read again later. */
  if (ft_store_read_job (result, body, &row, &job) != FT_STORE_OK || job.open)
    return FT_LEADER_OUTCOME_DONE;
  ft_scheduler_job_end_read (request->term->scheduler, ref, job.end, age_of_end_us (&job), g_get_monotonic_time ());
  return FT_LEADER_OUTCOME_PROGRESS;
}

static void
send_dependency_request (FtLeaderRequest *request)
{
  g_autofree char *key = ft_key_job (((DependencyRequest *) request)->ref);
  ft_store_client_get (request->term->node->store, key, FT_STORE_PRIORITY_COMMIT, ft_leader_request_on_store_answer,
                       request);
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

FtLeaderDependencies *
ft_leader_dependencies_new (FtLeaderTerm *term)
{
  FtLeaderDependencies *dependencies = g_new0 (FtLeaderDependencies, 1);
  dependencies->term = term;
  return dependencies;
}

void
ft_leader_dependencies_free (FtLeaderDependencies *dependencies)
{
  g_free (dependencies);
}

void
ft_leader_dependencies_end (FtLeaderDependencies *dependencies)
{
  dependencies->in_flight = 0;
}

void
ft_leader_dependencies_read (FtLeaderDependencies *dependencies, gint64 now)
{
  while (dependencies->in_flight < FT_DEPENDENCY_READS_MAX) {
    const char *ref = ft_scheduler_next_unread_job (dependencies->term->scheduler, now);
    if (ref == NULL)
      return;
    DependencyRequest *request = ft_leader_request_new (dependencies->term, &dependency_kind, dependencies);
    request->ref = g_strdup (ref);
    dependencies->in_flight++;
    ft_leader_request_send (&request->base);
  }
}
