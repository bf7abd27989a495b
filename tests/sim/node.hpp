// A controller of the simulated world. It consists of flintrack's own lease, scheduler and row
// encodings, and of code that replaces src/net.
//
// A Node makes no decision that src/core or src/wire makes; it only carries requests and answers
// between them and the simulated store, cloud and machines. The parts are in
//   node.cpp          start, crash and freeze, timers, one round of the leader's work
//   node_store.cpp    requests to the store, with losses and delays
//   node_lease.cpp    the lease: reads of its rows (sweeps), acquisition, renewal, yielding; advisories to peers
//   node_load.cpp     recovery of a new leader, its watch on open jobs, reads of dependencies that have ended
//   node_batches.cpp  the scheduler's writes in batches, conflicts, unanswered batches
//   node_workers.cpp  heartbeats and direct commands
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

// A controller's answer to a heartbeat; status 0 means that no answer came.
struct HeartbeatAnswer {
  guint status = 0;
  guint64 token = 0;
  Array commands;
  int leader = -1; // index of the node to report to instead; -1: unknown
};

class Node {
public:
  Node (World &world, int index);

  // ---- start and faults ----

  // Starts the process, with a new incarnation and a new steady clock.
  void start ();
  // Kills the process, which loses all its state, and starts a new one after `back_after`.
  void crash (Time back_after);
  // Freezes the process until that time. Its clock runs on, and all delayed messages and timers are
  // processed when it resumes.
  void freeze (Time until);

  bool alive = false;
  bool runs_previous_version = false; // it writes rows as the previous version did
  Time frozen_until = 0;
  Time store_refuses_until = 0; // until then the store refuses the requests of this controller only
  Time claims_fail_until = 0;   // until then it sends no claim of the lease and no renewal

  // ---- queries ----

  // The controller's host name, "node-INDEX".
  std::string name () const;
  // The time by its own steady clock.
  Time clock () const;
  // Whether the store would answer a request of this controller now.
  bool reaches_store () const;
  // Whether this controller considers itself the leader; its lease may have expired.
  bool leads () const;
  // Whether it leads and may still answer heartbeats by the rules of the lease.
  bool may_answer () const;
  // The leader's scheduler; NULL unless leads().
  FtScheduler *scheduler ();

  guint heartbeats_answered = 0; // number of heartbeats answered with status 200

  // ---- requests from others ----

  // Answers a worker's heartbeat.
  HeartbeatAnswer heartbeat (const FtWorkerHeartbeat *heartbeat);
  // Tells the leader's scheduler, here or at a peer, that this controller has committed the job's cancellation.
  // This is only an advisory: it may be lost, and safety does not depend on it.
  void advise_cancellation (const std::string &ref);
  // Receives a peer's advisory that this peer, the holder of the lease, has yielded it.
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
  // Handles an answer. The body is borrowed; status 0 and a NULL body mean that no answer came in time.
  using Reply = std::function<void (guint status, const json_t *body)>;
  // Ends a request with its answer or its timeout; calls after the first have no effect.
  using Finish = std::function<void (guint status, Json body)>;
  // Executes a request at the store.
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
  void yield_if_refused_only_here (Time now);
  void inject_suspicion (Time now);
  void sweep ();
  void acquire (Time now);
  void renew (Time now);
  void begin_term (guint64 revision);
  void step_down ();

  // node_load.cpp
  void load (const std::string &prefix, const std::string &after, Time began);
  void load_next (const std::string &prefix, Time began);
  void apply_row (const FtRow *row);
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
  void batch_finished (const PointerArray &writes, bool applied, const char *conflicted_job);

  // node_workers.cpp
  using DirectFinish = std::function<void (guint status, Heartbeat heartbeat)>;
  bool knows_cancellation (const std::string &ref) const;
  void check_answer (const FtWorkerHeartbeat *heartbeat, const HeartbeatAnswer &answer) const;
  void send_direct_commands ();
  void send_direct_command (const DirectMessage &direct);
  void direct_command_finished (const DirectMessage &direct, guint status, const FtWorkerHeartbeat *heartbeat);

  // node_cloud.cpp
  void call_cloud ();
  void list_machines ();

  World &world_;
  int index_;
  double clock_rate_ = 1;
  Time clock_offset_ = 0;
  guint64 incarnation_ = 0; // incremented at each start and crash of the process
  guint64 term_ = 0;        // incremented when leadership begins or ends; answers from an earlier term are dropped
  std::unique_ptr<FtLease, LeaseFree> lease_;
  std::unique_ptr<FtScheduler, SchedulerFree> scheduler_; // empty unless it leads
  // Whether a request of that kind is in flight.
  bool sweeping_ = false, renewing_ = false, batching_ = false, watching_ = false, calling_cloud_ = false;
  guint64 journal_revision_ = 0;   // revision of the journal row
  guint64 batch_ = 0;              // number of the last batch in this term
  guint64 watch_since_ = 0;        // revision up to which the rows of open jobs have been read
  Time answer_grace_ = 0;          // how long it may answer heartbeats after its lease has expired
  Time next_list_at_ = 0;          // when the cloud's machines are listed next, by its own clock
  Time store_refuses_since_ = 0;   // start of the store's refusal of this controller only; 0: none
  Time cancellations_read_at_ = 0; // when the first page of the open jobs' rows was requested
};

} // namespace sim
