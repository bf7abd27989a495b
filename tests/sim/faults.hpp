// What may go wrong in the simulated world, and how often it did.
#pragma once
#include <glib.h>

namespace sim {

// Set by a test, at the start or while the run goes on. A share is the probability
// for each message, request or machine.
struct FaultSettings {
  // Network.
  double message_loss = 0.002;
  double message_delay = 0.002; // share of messages that take 1 to 25 s
  double duplicates = 0;        // share of heartbeats and commands of which a copy comes late

  // Store.
  double slow_store_answers = 0; // share of answers that take up to 3 s more
  double late_writes = 0;        // share of transactions without an answer, applied 2 to 12 s later
  double lost_answers = 0;       // share of transactions that are applied and not answered

  // Controllers.
  double wrong_suspicions = 0.0005; // share of ticks in which a live holder is suspected
  bool peers_refuse = false;        // controllers refuse each other's connections
  bool advisories = true;           // controllers advise each other of cancellations and of a yielded lease
  bool extreme_clocks = false;      // steady clocks of those started from here on are at the limits of their drift
  double late_direct_commands = 0;  // share of direct commands that arrive 2 to 20 s late
  bool replay_heartbeats = false;   // the newest heartbeat of each worker also reaches the next leader

  // Cloud.
  double boot_failures = 0;    // share of machines that never come up, and of those that are slow
  double late_cloud_calls = 0; // share of calls that are executed 5 to 40 s late

  // Users.
  bool polls_cancel_dependents = true; // a poll finds out that an ancestor of the job is cancelled
};

// Counted by the world, so that a test can assert that its fault has occurred.
struct FaultCounters {
  guint takeovers = 0;                  // leases acquired, also by the former holder
  guint late_writes_applied = 0;        // though no answer came
  guint answers_lost = 0;               // of transactions that changed something
  guint late_launches = 0;              // machines that a late call has launched
  guint replayed_heartbeats = 0;        // answered by a new leader, though sent in an earlier term
  guint heartbeats_after_takeover = 0;  // sent to a former leader, answered after another takeover
  guint late_commands_executed = 0;     // direct commands that were late and executed
  guint late_commands_refused = 0;      // for their fencing token
  guint starts_while_not_reporting = 0; // on machines that had not reported for three leases
  guint cancelled_by_poll = 0;          // jobs that a poll has cancelled for an ancestor
  guint dependency_ends_read = 0;       // ends of dependencies that a leader had to read
};

} // namespace sim
