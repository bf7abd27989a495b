// A machine on which a cancelled start is in doubt, beside another task that runs there.
#pragma once
#include "scheduler_harness.hpp"

// The machine n-1 runs the only task of "req-2". A direct start of "req-1" got no answer, and "req-1" was then
// cancelled: the start may still be executed.
struct StartInDoubt : OneMachine {
  gint64 now = 102 * kS;
  guint64 sequence = 2;
  guint64 in_doubt = 0; // attempt number of the task whose start is in doubt
  StartInDoubt ()
  {
    start_job ("req-2", 6, 100 * kS, sequence);
    add_start_in_doubt ("req-1", 5);
    in_doubt = attempt_of ("req-1");
  }
  FtMachine *
  n1 ()
  {
    return machine ("n-1");
  }
  guint64
  attempt_of (const char *ref)
  {
    return job (ref)->tasks[0].attempt->id;
  }
  FtTaskStatus
  other (FtTaskPhase phase = FT_TASK_PHASE_RUNNING, FtExitReason why = FT_EXIT_NONE)
  {
    return task_status ("req-2", 0, attempt, phase, why);
  }
  // The task whose start was in doubt, after it was executed late and stopped.
  FtTaskStatus
  stopped () const
  {
    return task_status ("req-1", 0, in_doubt, FT_TASK_PHASE_EXITED, FT_EXIT_STOPPED);
  }
  // Adds a job of one task, whose direct start gets no answer, and cancels the job.
  void
  add_start_in_doubt (const char *ref, guint64 revision)
  {
    report ({ other () });
    now += kS;
    ft_scheduler_job_added (scheduler, new_job_spec (ref, 1), revision, now, 0);
    ft_scheduler_place (scheduler, now, TRUE);
    FtDirectRequest *direct = ft_scheduler_next_direct_request (scheduler, now);
    ASSERT_NE (direct, nullptr);
    ft_scheduler_direct_request_done (scheduler, direct, FT_DIRECT_UNANSWERED, nullptr, now);
    ft_direct_request_free (direct);
    ft_scheduler_job_cancelled (scheduler, ref, 0, now);
  }
  // Processes a heartbeat with those tasks and a tick, and returns the number of starts in the heartbeat's answer.
  guint
  report (std::vector<FtTaskStatus> tasks, guint64 incarnation = 1)
  {
    ft_scheduler_set_cancellations_known_until (scheduler, now);
    g_autoptr (GArray) commands = exchange (now, ++sequence, tasks, incarnation);
    ft_scheduler_tick (scheduler, now, TRUE);
    return count_commands (commands, FT_COMMAND_START);
  }
  // Lets the time pass, with a heartbeat that shows those tasks each second.
  void
  run_for (double seconds, std::vector<FtTaskStatus> tasks)
  {
    for (gint64 end = now + (gint64) (seconds * kS); now < end;) {
      now += kS;
      report (tasks);
    }
  }
  // Lets the time pass until the machine is quarantined, while the worker shows the other task only.
  void
  run_until_quarantined ()
  {
    run_for (FT_START_IN_DOUBT_QUARANTINE_S + 1, { other () });
    ASSERT_TRUE (ft_machine_is_quarantined (n1 ()));
    ASSERT_EQ (n1 ()->state, FT_MACHINE_UP);
  }
};
