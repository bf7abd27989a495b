// A controller's lease (reads of its rows, called sweeps; acquisition, renewal and yielding), and
// the advisories of cancellations and of a yielded lease that controllers send each other. Safety
// never depends on an advisory.
#include "node.hpp"

#include "world.hpp"

extern "C" {
#include "core/constants.h"
#include "wire/store.h"
}

namespace sim {

// A leader yields its lease when the store has refused it, and no other controller, for longer than this.
static constexpr Time kYieldAfter = 2 * kSecond;

// ---- advisories ----

void
Node::advise_cancellation (const std::string &ref)
{
  if (!world_.faults.advisories)
    return;
  auto receive = [ref] (Node *node) {
    if (node->alive && node->leads ())
      ft_scheduler_advisory_cancellation (node->scheduler (), ref.c_str (), node->clock ());
  };
  receive (this);
  for (auto &peer : world_.nodes)
    if (peer.get () != this)
      world_.deliver (name (), peer->name (), [receive, node = peer.get ()] { receive (node); });
}

void
Node::suspect (const std::string &holder)
{
  if (alive)
    ft_lease_suspect (lease_.get (), holder.c_str (), TRUE, clock ());
}

// Yields the lease if the store refuses only this controller for too long. It then starts no more
// tasks, and its peers suspect it and read the lease's rows at once.
void
Node::yield_if_refused_only_here (Time now)
{
  bool refused = world_.now < store_refuses_until;
  if (!refused)
    store_refuses_since_ = 0;
  else if (store_refuses_since_ == 0)
    store_refuses_since_ = world_.now;
  if (store_refuses_since_ == 0 || !world_.faults.advisories || world_.store.down)
    return;
  if (world_.now - store_refuses_since_ <= kYieldAfter || ft_lease_state (lease_.get ()) != FT_LEASE_HOLDING)
    return;
  ft_lease_yield (lease_.get (), now);
  for (auto &peer : world_.nodes)
    if (peer.get () != this)
      peer->suspect (name ());
}

// Injects a suspicion of the lease's holder, which may be healthy: at each tick while controllers
// refuse each other's connections, else at random.
void
Node::inject_suspicion (Time now)
{
  const char *holder = ft_lease_holder (lease_.get ());
  if (holder == nullptr)
    return;
  if (world_.faults.peers_refuse)
    ft_lease_suspect (lease_.get (), holder, FALSE, now);
  else if (world_.chance (world_.faults.wrong_suspicions))
    ft_lease_suspect (lease_.get (), holder, world_.chance (0.5), now);
}

// ---- requests to the store about the lease ----

void
Node::tick_lease ()
{
  Time now = clock ();
  ft_lease_tick (lease_.get (), now);
  if (scheduler_ != nullptr && !ft_lease_may_answer (lease_.get (), now))
    ft_scheduler_not_answering (scheduler_.get (), now);
  yield_if_refused_only_here (now);
  inject_suspicion (now);
  if (ft_lease_sweep_due (lease_.get (), now) && !sweeping_)
    sweep ();
  if (world_.now < claims_fail_until)
    return;
  if (ft_lease_acquire_due (lease_.get (), now))
    acquire (now);
  else if (ft_lease_renew_due (lease_.get (), now) && !renewing_)
    renew (now);
}

// Reads the lease's rows.
void
Node::sweep ()
{
  sweeping_ = true;
  request_store ([this] { return world_.store.list (FT_PREFIX_LEASE, "", 10); },
                 [this] (guint status, const json_t *body) {
                   sweeping_ = false;
                   gboolean more;
                   g_autoptr (GArray) rows = status == 200 ? ft_store_rows (body, &more) : nullptr;
                   FtLeaseRows seen{};
                   if (rows != nullptr && ft_row_lease_parse (rows, &seen))
                     ft_lease_observe (lease_.get (), clock (), &seen);
                   else
                     ft_lease_sweep_failed (lease_.get (), clock ());
                   ft_lease_rows_clear (&seen);
                 });
}

void
Node::acquire (Time now)
{
  FtLeaseClaim claim = ft_lease_claim (lease_.get (), now);
  Json transaction = adopt (ft_txn_claim (&claim, name ().c_str (), incarnation_, ft_lease_time (lease_.get ())));
  commit (transaction, [this, now] (guint status, const json_t *body) {
    guint64 revision;
    if (status != 200 || !ft_store_revision (body, &revision)) {
      ft_lease_claim_failed (lease_.get (), clock ());
      return;
    }
    ft_lease_acquired (lease_.get (), now, revision);
    begin_term (revision);
  });
}

void
Node::renew (Time now)
{
  renewing_ = true;
  ft_lease_renew_sent (lease_.get (), now);
  Json transaction = adopt (ft_txn_renew (ft_lease_fence_revision (lease_.get ()), ft_lease_token (lease_.get ()),
                                          ft_lease_time (lease_.get ()), FALSE));
  commit (transaction, in_term ([this, now] (guint status, const json_t *) {
            renewing_ = false;
            if (status == 200)
              ft_lease_renewed (lease_.get (), now);
            else if (status == 409)
              step_down ();
            else
              ft_lease_renew_failed (lease_.get (), clock ());
          }));
}

// ---- leadership ----

void
Node::begin_term (guint64 revision)
{
  Time now = clock ();
  term_++;
  scheduler_.reset (ft_scheduler_new (&own_settings (), world_.catalog, ft_lease_worker_tokens (lease_.get ()),
                                      answer_grace_, now, (guint32) world_.below (1 << 30)));
  world_.counters.takeovers++;
  if (world_.on_takeover)
    world_.on_takeover (*this);
  world_.replay_heartbeats ();
  journal_revision_ = revision;
  batch_ = 0;
  batching_ = renewing_ = watching_ = calling_cloud_ = false;
  next_list_at_ = now;
  load (FT_PREFIX_OPEN, "", clock ());
}

void
Node::step_down ()
{
  term_++;
  ft_lease_lost (lease_.get (), clock ());
  scheduler_.reset ();
}

} // namespace sim
