// A controller's requests to the store. A request may be lost or delayed, executed without an
// answer, or executed late.
#include "node.hpp"

#include "world.hpp"

extern "C" {
#include "core/constants.h"
}

namespace sim {

// Interval at which an open watch checks for changes.
static constexpr Time kWatchPoll = kSecond / 20;

bool
Node::store_refuses () const
{
  return world_.store.down || world_.now < store_refuses_until;
}

// Wraps a reply so that only the first answer reaches it, and none that belongs to a former
// incarnation of this controller.
Node::Finish
Node::once (Reply reply)
{
  auto done = std::make_shared<bool> (false);
  return [this, done, incarnation = incarnation_, reply = std::move (reply)] (guint status, Json body) {
    if (*done || incarnation != incarnation_)
      return;
    *done = true;
    reply (status, body.get ());
  };
}

void
Node::request_store (Request request, Reply reply)
{
  Finish finish = once (std::move (reply));
  world_.deliver (name (), "store", [this, request, finish] {
    StoreAnswer answer = store_refuses () ? Store::RawAnswer (503, nullptr) : request ();
    Time slow = world_.chance (world_.faults.slow_store_answers) ? world_.seconds_between (0.3, 3) : 0;
    world_.after (slow, [this, finish, answer] {
      world_.deliver ("store", name (), [finish, answer] { finish (answer.status, answer.body); });
    });
  });
  schedule ((Time) (FT_STORE_TIMEOUT_S * kSecond), [finish] { finish (0, nullptr); });
}

void
Node::commit (Json transaction, Reply reply)
{
  bool late = !store_refuses () && world_.chance (world_.faults.late_writes);
  bool unanswered = late || (!store_refuses () && world_.chance (world_.faults.lost_answers));
  if (!unanswered) {
    request_store ([this, transaction] { return world_.store.commit (transaction.get (), world_.now); }, reply);
    return;
  }
  // A lost answer: the transaction is applied at once. A late write: it is applied after a delay, and so possibly
  // after later transactions of the same controller.
  auto apply = [&world = world_, transaction] (guint &counter) {
    StoreAnswer answer = world.store.commit (transaction.get (), world.now);
    counter += answer.status == 200;
  };
  if (late)
    world_.after (world_.seconds_between (2, 12),
                  [&world = world_, apply] { apply (world.counters.late_writes_applied); });
  else
    apply (world_.counters.answers_lost);
  schedule ((Time) (FT_STORE_TIMEOUT_S * kSecond), [finish = once (std::move (reply))] { finish (0, nullptr); });
}

// Answers a watch when there is a change, or at `until`. While the store refuses the controller, the
// watch stays open and unanswered, as in an outage.
void
Node::await_change (const std::string &prefix, guint64 since, Time until, Finish finish)
{
  if (!store_refuses () && (world_.now >= until || world_.store.has_changes (prefix, since))) {
    StoreAnswer answer = world_.store.read_changes (prefix, since);
    world_.deliver ("store", name (), [finish, answer] { finish (answer.status, answer.body); });
    return;
  }
  world_.after (kWatchPoll, [this, prefix, since, until, finish] { await_change (prefix, since, until, finish); });
}

void
Node::request_watch (const std::string &prefix, guint64 since, Reply reply)
{
  Finish finish = once (std::move (reply));
  world_.deliver (name (), "store", [this, prefix, since, finish] {
    if (store_refuses ()) {
      world_.deliver ("store", name (), [finish] { finish (503, nullptr); });
      return;
    }
    await_change (prefix, since, world_.now + (Time) (FT_WATCH_S * kSecond), finish);
  });
  schedule ((Time) ((FT_WATCH_S + FT_WATCH_SLACK_S) * kSecond), [finish] { finish (0, nullptr); });
}

} // namespace sim
