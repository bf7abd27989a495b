// A controller's exchange with machines: it answers their heartbeats and sends them direct commands.
#include "node.hpp"

#include "worker.hpp"
#include "world.hpp"

extern "C" {
#include "core/constants.h"
}

#include <algorithm>
#include <cstring>

namespace sim {

// ---- heartbeats ----

HeartbeatAnswer
Node::heartbeat (const FtWorkerHeartbeat *heartbeat)
{
  HeartbeatAnswer answer;
  Time now = clock ();
  answer.status = 421;
  if (!may_answer ()) {
    const char *holder = ft_lease_holder (lease_.get ());
    if (holder != nullptr && name () != holder)
      answer.leader = holder[strlen (holder) - 1] - '0';
    return answer;
  }
  if (ft_scheduler_heartbeat (scheduler_.get (), heartbeat, now) == FT_HEARTBEAT_SUPERSEDED) {
    step_down ();
    return answer;
  }
  ft_scheduler_place (scheduler_.get (), now, ft_lease_may_start (lease_.get (), now));
  answer.commands = adopt (ft_scheduler_answer (scheduler_.get (), heartbeat, now, &answer.token));
  answer.status = answer.commands != nullptr ? 200 : 503;
  heartbeats_answered += answer.status == 200;
  check_answer (heartbeat, answer);
  run_leader ();
  return answer;
}

// Whether this leader has read that the job is cancelled.
bool
Node::knows_cancellation (const std::string &ref) const
{
  std::optional<JobRow> row = world_.job_row (ref);
  return row && !row->state.open && row->state.end == FT_JOB_END_CANCELLED && row->revision <= watch_since_;
}

// Checks that an answer that renews the worker's lease stops each live task of the heartbeat whose job is known to be
// cancelled.
void
Node::check_answer (const FtWorkerHeartbeat *heartbeat, const HeartbeatAnswer &answer) const
{
  if (answer.status != 200 || answer.token < heartbeat->token)
    return;
  for (guint i = 0; i < heartbeat->tasks->len; i++) {
    const FtTaskStatus &status = g_array_index (heartbeat->tasks, FtTaskStatus, i);
    if (status.state == FT_TASK_PHASE_EXITED || !knows_cancellation (status.job))
      continue;
    bool stopped = false;
    for (guint j = 0; j < answer.commands->len && !stopped; j++) {
      const FtCommand &command = g_array_index (answer.commands.get (), FtCommand, j);
      stopped = command.op == FT_COMMAND_STOP && command.attempt == status.attempt && command.index == status.index
                && g_strcmp0 (command.job, status.job) == 0;
    }
    if (!stopped)
      world_.checker->cancelled_task_kept (std::string (status.job) + "/" + std::to_string (status.index),
                                           heartbeat->machine);
  }
}

// ---- direct commands ----

void
Node::send_direct_commands ()
{
  while (FtDirectRequest *direct = ft_scheduler_next_direct_request (scheduler_.get (), clock ()))
    send_direct_command (DirectMessage (direct, ft_direct_request_free));
}

// Sends the commands of one request to the worker, which executes them when the message arrives and
// answers with a heartbeat.
void
Node::send_direct_command (const DirectMessage &direct)
{
  auto done = std::make_shared<bool> (false);
  DirectFinish finish = [this, term = term_, done, direct] (guint status, Heartbeat heartbeat) {
    if (*done || term != term_)
      return;
    *done = true;
    direct_command_finished (direct, status, heartbeat.get ());
  };
  World &world = world_;
  Time late = world.chance (world.faults.late_direct_commands) ? world.seconds_between (2, 20) : 0;
  if (world.direct_delay)
    late = std::max (late, world.direct_delay (direct));
  auto arrive = [&world, from = name (), direct, finish, late] {
    auto answer = world.execute_direct (direct);
    if (!answer)
      return;
    world.counters.late_commands_executed += late > 0 && answer->status == 200 && direct->commands->len > 0;
    world.counters.late_commands_refused
        += late > 0 && answer->status == 409 && answer->heartbeat->token > direct->token;
    world.deliver (direct->machine, from, [finish, answer] { finish (answer->status, answer->heartbeat); });
  };
  world.after (late, [&world, from = name (), direct, arrive] { world.deliver (from, direct->machine, arrive); });
  schedule ((Time) (FT_COMMAND_TIMEOUT_S * kSecond), [finish] { finish (0, nullptr); });
  if (world.on_direct_message)
    world.on_direct_message (direct);
  if (world.chance (world.faults.duplicates))
    world.after (world.copy_delay (), [&world, direct] { world.deliver_copy (direct); });
}

// Reports the result of a direct command to the scheduler, and steps down if the worker has seen a
// higher fencing token.
void
Node::direct_command_finished (const DirectMessage &direct, guint status, const FtWorkerHeartbeat *heartbeat)
{
  FtDirectResult result = status == 200 ? FT_DIRECT_OK : status == 409 ? FT_DIRECT_CONFLICT : FT_DIRECT_UNANSWERED;
  if (ft_scheduler_direct_request_done (scheduler_.get (), direct.get (), result, heartbeat, clock ()))
    run_leader ();
  else
    step_down ();
}

} // namespace sim
