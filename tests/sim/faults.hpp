// The faults of the simulated world: their settings, and counters of those that occurred.
#pragma once
#include <glib.h>

namespace sim {

// Set by a test, at the start of a run or during it. A share is the probability that a fault
// hits one message, request or machine.
struct FaultSettings {
  // Network.
  double message_loss = 0.002;  // share of messages that are lost
  double message_delay = 0.002; // share of messages that take 1 to 25 s
  double duplicates = 0;        // share of heartbeats and direct commands of which a late copy arrives as well

  // Store.
  double slow_store_answers = 0; // share of answers that take 0.3 to 3 s longer
  double late_writes = 0;        // share of transactions that get no answer and are applied 2 to 12 s late
  double lost_answers = 0;       // share of transactions that are applied but get no answer

  // Controllers.

  // Share of ticks in which a controller suspects the lease's holder, although it may be live.
  double wrong_suspicions = 0.0005;
  bool peers_refuse = false;   // controllers refuse connections from each other
  bool advisories = true;      // controllers send each other advisories of cancellations and of a yielded lease
  bool extreme_clocks = false; // controllers that start from now on have steady clocks with the largest drift allowed
  double late_direct_commands = 0; // share of direct commands that are sent 2 to 20 s late
  // The newest heartbeat of each worker also reaches all controllers after the next takeover.
  bool replay_heartbeats = false;

  // Cloud.
  double boot_failures = 0;    // share of machines that never boot, and share of the other machines that boot slowly
  double late_cloud_calls = 0; // share of cloud calls that are executed 5 to 40 s late

  // Users.
  bool polls_cancel_dependents = true; // a poll of a job with a cancelled ancestor cancels the job
};

// Counted by the simulated world, so that a test can assert that the fault it is about has occurred.
struct FaultCounters {
  guint takeovers = 0;                 // acquisitions of the lease, including those by the previous holder
  guint late_writes_applied = 0;       // late transactions that were applied
  guint answers_lost = 0;              // transactions that were applied and whose answer was lost
  guint late_launches = 0;             // machines that a late cloud call has launched
  guint replayed_heartbeats = 0;       // heartbeats from an earlier term that a leader has answered
  guint heartbeats_after_takeover = 0; // heartbeats sent before a takeover and answered with 200 after it
  guint late_commands_executed = 0;    // late direct commands that a worker has executed
  guint late_commands_refused = 0;     // late direct commands that a worker has refused for an old fencing token
  guint copies_executed = 0;           // late copies of direct commands that a worker has executed
  guint copies_refused = 0;            // late copies of direct commands that a worker has refused
  // Tasks begun on machines whose heartbeats had reached no controller for three lease times.
  guint starts_while_not_reporting = 0;
  guint cancelled_by_poll = 0;    // jobs that a poll has cancelled because an ancestor was cancelled
  guint dependency_ends_read = 0; // rows of ended dependencies that a leader has read one by one
};

} // namespace sim
