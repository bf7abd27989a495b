#include "node.hpp"

#include "world.hpp"

extern "C" {
#include "core/constants.h"
}

namespace sim {

// Interval between two ticks of a controller.
static constexpr Time kTick = kSecond / 5;

// Rates of the slowest and the fastest steady clock within the allowed drift.
static constexpr double kSlowestClock = 0.9995, kFastestClock = 1.0005;

Node::Node (World &world, int index) : world_ (world), index_ (index) {}

// ---- start and faults ----

void
Node::start ()
{
  incarnation_++;
  alive = true;
  clock_rate_ = world_.uniform (kSlowestClock, kFastestClock);
  if (world_.faults.extreme_clocks)
    clock_rate_ = world_.chance (0.5) ? kSlowestClock : kFastestClock;
  clock_offset_ = world_.seconds_between (1, 5000);
  answer_grace_ = ft_tuning_answer_grace (&world_.settings);
  lease_.reset (ft_lease_new (name ().c_str (), incarnation_ * 10 + (guint64) index_ + 1,
                              (gint64) (FT_LEASE_S * kSecond), (gint64) (FT_SWEEP_S * kSecond), answer_grace_,
                              (guint32) world_.below (1 << 30)));
  sweeping_ = renewing_ = batching_ = watching_ = calling_cloud_ = false;
  tick ();
}

void
Node::crash (Time back_after)
{
  if (!alive)
    return;
  alive = false;
  frozen_until = 0;
  incarnation_++;
  term_++;
  scheduler_.reset ();
  lease_.reset ();
  world_.after (back_after, [this] { start (); });
}

void
Node::freeze (Time until)
{
  if (alive)
    frozen_until = until;
}

// ---- queries ----

std::string
Node::name () const
{
  return "node-" + std::to_string (index_);
}

Time
Node::clock () const
{
  return clock_offset_ + (Time) (world_.now * clock_rate_);
}

bool
Node::reaches_store () const
{
  return alive && !store_refuses () && world_.now >= frozen_until && !world_.is_cut (name (), "store");
}

bool
Node::leads () const
{
  return scheduler_ != nullptr;
}

bool
Node::may_answer () const
{
  return leads () && ft_lease_may_answer (lease_.get (), clock ());
}

FtScheduler *
Node::scheduler ()
{
  return scheduler_.get ();
}

// ---- timers ----

// Schedules an action; if the controller is frozen when it is due, the action runs when it resumes.
void
Node::schedule (Time delay, EventQueue::Action action)
{
  world_.after (delay, [this, action = std::move (action)] {
    if (world_.now < frozen_until)
      world_.at (frozen_until, action);
    else
      action ();
  });
}

// Schedules an action that is dropped if the current term has ended by then.
void
Node::schedule_in_term (Time delay, EventQueue::Action action)
{
  schedule (delay, [this, term = term_, action = std::move (action)] {
    if (term == term_)
      action ();
  });
}

// Wraps a reply so that an answer which comes after the end of the current term is dropped.
Node::Reply
Node::in_term (Reply reply)
{
  return [this, term = term_, reply = std::move (reply)] (guint status, const json_t *body) {
    if (term == term_)
      reply (status, body);
  };
}

// Runs one round of the leader's work: a placement pass, then the writes, reads, commands and cloud
// calls that the scheduler requests.
void
Node::run_leader ()
{
  if (scheduler_ == nullptr || !ft_scheduler_is_loaded (scheduler_.get ()))
    return;
  ft_scheduler_place (scheduler_.get (), clock (), ft_lease_may_start (lease_.get (), clock ()));
  commit_batch ();
  read_dependencies ();
  send_direct_commands ();
  call_cloud ();
}

void
Node::tick ()
{
  if (!alive)
    return;
  tick_lease ();
  if (scheduler_ != nullptr) {
    watch ();
    list_machines ();
    ft_scheduler_tick (scheduler_.get (), clock (), ft_lease_may_start (lease_.get (), clock ()));
    run_leader ();
  }
  schedule (kTick, [this, incarnation = incarnation_] {
    if (incarnation == incarnation_)
      tick ();
  });
}

} // namespace sim
