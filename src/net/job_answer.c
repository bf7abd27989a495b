#include "net/job_answer.h"

#include "net/job_cache.h"
#include "wire/messages.h"

json_t *
ft_job_answer_ended (const char *ref, FtJobEnd end, guint tasks)
{
  gboolean done = end == FT_JOB_END_DONE;
  return ft_message_job_state (ref, done ? "done" : "cancelled", done ? tasks : 0, 0, TRUE);
}

json_t *
ft_job_answer_cached (const FtNode *node, const char *ref)
{
  FtJobEnd end;
  guint tasks;
  if (!ft_job_cache_find_end (node->job_cache, ref, &end, &tasks))
    return NULL;
  return ft_job_answer_ended (ref, end, tasks);
}
