// A controller of the simulated world: flintrack's own lease, scheduler and row
// encodings, with the glue that the real program has in src/net.
//
// What src/core and src/wire decide is never repeated here; a Node only carries
// requests and answers between them and the simulated store, cloud and machines.
// The parts are in
//   node.cpp          life, timers, one round of the leader's work
//   node_store.cpp    requests to the store, with losses and delays
//   node_lease.cpp    sweeps, acquisition, renewal, yielding, advisories between peers
//   node_load.cpp     what a new leader reads, the watch, ends of dependencies
//   node_batches.cpp  the scheduler's writes in batches, conflicts, unanswered batches
//   node_workers.cpp  heartbeats and commands sent directly
//   node_cloud.cpp    launching, terminating and listing machines
#pragma once
#include "clock.hpp"
#include "handles.hpp"
#include "store.hpp"

#include <functional>
#include <memory>
#include <string>

extern "C" {
#include "core/lease.h"
#include "core/scheduler.h"
#include "wire/store.h"
}

namespace sim {

class World;

// A controller's answer to a heartbeat; status 0: none came.
struct HeartbeatAnswer {
  guint status = 0;
  guint64 token = 0;
  Array commands;
  int leader = -1; // index of the node to report to instead; -1: unknown
};

class Node {
public:
  Node (World &world, int index);

  // ---- life and faults ----

  // Starts the process: a new incarnation and a new steady clock.
  void start ();
  // Ends the process with all its state; another is started later.
  void crash (Time back_after);
  // It stands still while its clocks run on; then everything comes at once.
  void freeze (Time until);

  bool alive = false;
  bool runs_previous_version = false; // it writes rows as the version before did
  Time frozen_until = 0;
  Time store_refuses_until = 0; // the store refuses this controller alone
  Time claims_fail_until = 0;   // it acquires no lease

  // ---- questions ----

  // "node-INDEX"
  std::string name () const;
  // By its own steady clock.
  Time clock () const;
  // Whether the store would answer it now.
  bool reaches_store () const;
  // Whether it leads as far as it knows; its lease may have expired.
  bool leads () const;
  // Whether it would answer a worker's heartbeat now.
  bool may_answer () const;
  // Only while leads().
  FtScheduler *scheduler ();

  guint heartbeats_answered = 0; // with 200

  // ---- requests from others ----

  HeartbeatAnswer heartbeat (const FtWorkerHeartbeat *heartbeat);
  // It has committed a cancellation and advises its own scheduler and its peers.
  void advise_cancellation (const std::string &ref);
  // A peer that finds the holder of the lease gone advises this controller.
  void suspect (const std::string &holder);

private:
  struct LeaseFree {
    void
    operator() (FtLease *lease) const
    {
      ft_lease_free (lease);
    }
  };
  struct SchedulerFree {
    void
    operator() (FtScheduler *scheduler) const
    {
      ft_scheduler_free (scheduler);
    }
  };
  // The body is borrowed; NULL with status 0, when no answer came in time.
  using Reply = std::function<void (guint status, const json_t *body)>;
  using Finish = std::function<void (guint status, Json body)>;
  using Request = std::function<Store::RawAnswer ()>;

  // node.cpp
  void tick ();
  void schedule (Time delay, EventQueue::Action action);
  void schedule_in_term (Time delay, EventQueue::Action action);
  Reply in_term (Reply reply);
  void run_leader ();

  // node_store.cpp
  bool store_refuses () const;
  Finish once (Reply reply);
  void request_store (Request request, Reply reply);
  void request_watch (const std::string &prefix, guint64 since, Reply reply);
  void await_change (const std::string &prefix, guint64 since, Time until, Finish finish);
  void commit (Json transaction, Reply reply);

  // node_lease.cpp
  void tick_lease ();
  void yield_if_refused_alone (Time now);
  void draw_suspicion (Time now);
  void sweep ();
  void acquire (Time now);
  void renew (Time now);
  void begin_term (guint64 revision);
  void step_down ();

  // node_load.cpp
  void load (const std::string &prefix, const std::string &after, Time began);
  void load_next (const std::string &prefix, Time began);
  void take_row (const FtRow *row);
  void cancellations_known (Time at);
  void watch ();
  void read_dependencies ();
  void read_job_end (const std::string &ref);

  // node_batches.cpp
  const FtSettings &own_settings () const;
  void commit_batch ();
  Json batch_transaction (const PointerArray &writes, guint64 batch) const;
  void on_batch_answer (const PointerArray &writes, guint64 batch, guint status, const json_t *body);
  void on_batch_conflict (const PointerArray &writes, guint64 batch, const json_t *body);
  void resolve_conflicted_job (const std::string &ref);
  void resolve_batch (PointerArray writes, guint64 batch);
  void batch_over (const PointerArray &writes, bool applied, const char *conflicted_job);

  // node_workers.cpp
  using DirectCommand = std::shared_ptr<FtDirectRequest>;
  using DirectFinish = std::function<void (guint status, Heartbeat heartbeat)>;
  void send_direct_commands ();
  void send_direct_command (const DirectCommand &direct);
  void direct_command_over (const DirectCommand &direct, guint status, const FtWorkerHeartbeat *heartbeat);

  // node_cloud.cpp
  void call_cloud ();
  void list_machines ();

  World &world_;
  int index_;
  double clock_rate_ = 1;
  Time clock_offset_ = 0;
  guint64 incarnation_ = 0; // counts starts and ends of the process
  guint64 term_ = 0;        // counts begins and ends of leadership; answers to an earlier one are dropped
  std::unique_ptr<FtLease, LeaseFree> lease_;
  std::unique_ptr<FtScheduler, SchedulerFree> scheduler_; // empty: it does not lead
  bool sweeping_ = false, renewing_ = false, batching_ = false, watching_ = false, calling_cloud_ = false;
  guint64 journal_revision_ = 0, batch_ = 0;
  guint64 watch_since_ = 0; // revision up to which the open jobs are known
  Time answer_grace_ = 0;
  Time next_list_at_ = 0;
  Time store_refuses_since_ = 0;   // 0: it does not refuse this controller alone
  Time cancellations_read_at_ = 0; // when the reading of the open jobs' rows began
};

} // namespace sim
