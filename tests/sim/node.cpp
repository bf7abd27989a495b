// The controllers of the stand-in world: what src/net does in the program.
#include <gtest/gtest.h>

#include "world.hpp"

extern "C" {
#include "core/constants.h"
#include "core/admission.h"
#include "wire/messages.h"
#include "wire/store.h"
}

#include <algorithm>
#include <cstring>

namespace sim {

Node::Node (World &world, int index) : world_ (world), index_ (index) {}

void
Node::start ()
{
  life_++;
  alive = true;
  rate_ = world_.uniform (0.9995, 1.0005);
  if (world_.extreme_clocks)
    rate_ = world_.chance (0.5) ? 0.9995 : 1.0005;
  offset_ = (Time) (world_.uniform (1, 5000) * kSecond);
  const FtSettings &s = world_.settings;
  answer_grace_ = ft_tuning_answer_grace (&s);
  lease_.reset (ft_lease_new (name ().c_str (), life_ * 10 + (guint64) index_ + 1, (gint64) (FT_LEASE_S * kSecond),
                              (gint64) (FT_SWEEP_S * kSecond), answer_grace_, (guint32) world_.below (1 << 30)));
  sweeping_ = renewing_ = batching_ = watching_ = cloud_busy_ = false;
  tick ();
}

void
Node::crash (Time back_after)
{
  if (!alive)
    return;
  alive = false;
  frozen_until = 0;
  life_++;
  term_++;
  scheduler_.reset ();
  lease_.reset ();
  world_.after (back_after, [this] { start (); });
}

// What the node itself does later: not before it goes on.
void
Node::later (Time delay, std::function<void ()> what)
{
  world_.after (delay, [this, what] {
    if (world_.now < frozen_until)
      world_.at (frozen_until, what);
    else
      what ();
  });
}

// The first answer counts, and none of a former life.
Node::Finish
Node::once (Reply reply)
{
  auto done = std::make_shared<bool> (false);
  guint64 life = life_;
  return [this, done, life, reply] (guint status, std::shared_ptr<json_t> body) {
    if (*done || life != life_)
      return;
    *done = true;
    reply (status, body.get ());
  };
}

// One request to the state service: it may be executed and not answered, or
// executed late.
void
Node::ask_store (std::function<std::pair<guint, json_t *> ()> what, Reply reply)
{
  auto finish = once (reply);
  world_.deliver (name (), "store", [this, what, finish] {
    std::pair<guint, json_t *> answer = refused () ? std::make_pair (503u, (json_t *) nullptr) : what ();
    std::shared_ptr<json_t> body (answer.second, json_decref);
    Time slow = world_.chance (world_.slow_store) ? (Time) (world_.uniform (0.3, 3) * kSecond) : 0;
    world_.after (slow, [this, finish, answer, body] {
      world_.deliver ("store", name (), [finish, answer, body] { finish (answer.first, body); });
    });
  });
  later ((Time) (FT_STORE_TIMEOUT_S * kSecond), [finish] { finish (0, nullptr); });
}

bool
Node::refused () const
{
  return world_.store.down || world_.now < refused_until;
}

bool
Node::served () const
{
  auto cut = world_.cuts.find ({ name (), "store" });
  return alive && !refused () && world_.now >= frozen_until && (cut == world_.cuts.end () || cut->second <= world_.now);
}

void
Node::commit (json_t *txn, Reply reply)
{
  std::shared_ptr<json_t> owned (txn, json_decref);
  // Without an answer, and applied after newer ones of the same controller.
  if (!refused () && world_.chance (world_.late_writes)) {
    world_.after ((Time) (world_.uniform (2, 12) * kSecond), [this, owned] {
      auto [status, body] = world_.store.commit (owned.get (), world_.now);
      world_.late_applied += status == 200;
      json_decref (body);
    });
    later ((Time) (FT_STORE_TIMEOUT_S * kSecond), [finish = once (reply)] { finish (0, nullptr); });
    return;
  }
  // Carried out at once, and only the answer is lost.
  if (!refused () && world_.chance (world_.lost_answers)) {
    auto [status, body] = world_.store.commit (owned.get (), world_.now);
    world_.answers_lost += status == 200;
    json_decref (body);
    later ((Time) (FT_STORE_TIMEOUT_S * kSecond), [finish = once (reply)] { finish (0, nullptr); });
    return;
  }
  ask_store ([this, owned] { return world_.store.commit (owned.get (), world_.now); }, reply);
}

// An open watch waits while the state service refuses its controller, as in an outage.
void
Node::await_change (const std::string &prefix, guint64 since, Time until, Finish finish)
{
  if (!refused () && (world_.now >= until || world_.store.changed (prefix, since))) {
    auto answer = world_.store.follow (prefix, since);
    std::shared_ptr<json_t> body (answer.second, json_decref);
    world_.deliver ("store", name (), [finish, answer, body] { finish (answer.first, body); });
    return;
  }
  world_.after (kSecond / 20, [this, prefix, since, until, finish] { await_change (prefix, since, until, finish); });
}

void
Node::ask_watch (const std::string &prefix, guint64 since, Reply reply)
{
  auto finish = once (reply);
  world_.deliver (name (), "store", [this, prefix, since, finish] {
    if (refused ()) {
      world_.deliver ("store", name (), [finish] { finish (503, nullptr); });
      return;
    }
    await_change (prefix, since, world_.now + (Time) (FT_WATCH_S * kSecond), finish);
  });
  later ((Time) ((FT_WATCH_S + FT_WATCH_SLACK_S) * kSecond), [finish] { finish (0, nullptr); });
}

// What it has committed itself its own scheduler hears at once, the others by the peers.
void
Node::confirmed (const std::string &ref)
{
  auto hear = [this, ref] (Node *node) {
    if (node->alive && node->leads ())
      ft_scheduler_cancellation_advised (node->scheduler (), ref.c_str (), node->clock ());
  };
  if (!world_.hints)
    return;
  hear (this);
  for (auto &peer : world_.nodes)
    if (peer.get () != this)
      world_.deliver (name (), peer->name (), [hear, node = peer.get ()] { hear (node); });
}

void
Node::lease_tick ()
{
  Time now = clock ();
  ft_lease_tick (lease_.get (), now);
  if (scheduler_ != nullptr && !ft_lease_may_answer (lease_.get (), now))
    ft_scheduler_unanswering (scheduler_.get (), now);
  // Refused alone for two seconds, it starts nothing more, and its peers look at once.
  if (now_refused_ == 0 || world_.now >= refused_until)
    now_refused_ = world_.now < refused_until ? world_.now : 0;
  if (now_refused_ > 0 && world_.hints && !world_.store.down && world_.now - now_refused_ > 2 * kSecond
      && ft_lease_state (lease_.get ()) == FT_LEASE_HOLDING) {
    ft_lease_yield (lease_.get (), now);
    for (auto &peer : world_.nodes)
      if (peer.get () != this && peer->alive)
        ft_lease_suspect (peer->lease_.get (), name ().c_str (), TRUE, peer->clock ());
  }
  // A wrong hint now and then: the holder may be alive and well.
  const char *holder = ft_lease_holder (lease_.get ());
  if (holder != nullptr && world_.peers_refuse)
    ft_lease_suspect (lease_.get (), holder, FALSE, now);
  else if (holder != nullptr && world_.chance (world_.wrong_suspicion))
    ft_lease_suspect (lease_.get (), holder, world_.chance (0.5), now);
  if (ft_lease_sweep_due (lease_.get (), now) && !sweeping_) {
    sweeping_ = true;
    ask_store ([this] { return world_.store.list (FT_PREFIX_LEASE, "", 10); },
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
  if (world_.now < cannot_claim_until)
    return;
  if (ft_lease_acquire_due (lease_.get (), now)) {
    FtLeaseClaim c = ft_lease_claim (lease_.get (), now);
    json_t *txn = ft_txn_new ();
    ft_txn_if (txn, FT_KEY_FENCE, c.fence_revision);
    if (c.check_renewal)
      ft_txn_if (txn, FT_KEY_RENEWAL, c.renewal_revision);
    ft_txn_put (txn, FT_KEY_FENCE, ft_row_fence (c.token, name ().c_str (), life_));
    ft_txn_put (txn, FT_KEY_RENEWAL, ft_row_renewal (c.token, ft_lease_time (lease_.get ()), FALSE));
    ft_txn_put (txn, FT_KEY_JOURNAL, ft_row_journal (c.token, 0));
    commit (txn, [this, now] (guint status, const json_t *body) {
      guint64 revision;
      if (status != 200 || !ft_store_revision (body, &revision)) {
        ft_lease_claim_failed (lease_.get (), clock ());
        return;
      }
      ft_lease_acquired (lease_.get (), now, revision);
      begin (revision);
    });
  } else if (ft_lease_renew_due (lease_.get (), now) && !renewing_) {
    renewing_ = true;
    ft_lease_renew_sent (lease_.get (), now);
    json_t *txn = ft_txn_new ();
    ft_txn_if (txn, FT_KEY_FENCE, ft_lease_fence_revision (lease_.get ()));
    ft_txn_put (txn, FT_KEY_RENEWAL,
                ft_row_renewal (ft_lease_token (lease_.get ()), ft_lease_time (lease_.get ()), FALSE));
    guint64 term = term_;
    commit (txn, [this, now, term] (guint status, const json_t *) {
      if (term != term_)
        return;
      renewing_ = false;
      if (status == 200)
        ft_lease_renewed (lease_.get (), now);
      else if (status == 409)
        step_down ();
      else
        ft_lease_renew_failed (lease_.get (), clock ());
    });
  }
}

void
Node::begin (guint64 revision)
{
  Time now = clock ();
  term_++;
  scheduler_.reset (ft_scheduler_new (old ? &world_.old_settings : &world_.settings, world_.catalog,
                                      ft_lease_token (lease_.get ()), answer_grace_, now,
                                      (guint32) world_.below (1 << 30)));
  world_.takeovers++;
  if (world_.on_takeover)
    world_.on_takeover (*this);
  world_.deliver_kept_reports ();
  journal_stamp_ = revision;
  batch_ = 0;
  batching_ = renewing_ = watching_ = cloud_busy_ = false;
  next_list_ = now;
  load (FT_PREFIX_OPEN, "", clock ());
}

void
Node::step_down ()
{
  term_++;
  ft_lease_lost (lease_.get (), clock ());
  scheduler_.reset ();
}

static void
load_row (FtScheduler *s, const FtRow *row, Time now, gint64 wall)
{
  g_autofree char *ref = nullptr;
  guint chunk;
  gboolean cancelled;
  if (g_str_has_prefix (row->key, FT_PREFIX_OPEN)) {
    ref = ft_key_open_ref (row->key, &cancelled);
    if (row->value == nullptr)
      return;
    if (cancelled)
      ft_scheduler_job_cancelled (s, ref, (wall - ft_row_cancellation_time (row->value)) * 1000, now);
    else if (ft_scheduler_is_loaded (s))
      ft_scheduler_job_added (s, ft_row_open_parse (ref, row->value), ft_row_open_revision (row), now, wall);
    else
      ft_scheduler_load_job (s, ft_row_open_parse (ref, row->value), ft_row_open_revision (row), now, wall);
  } else if (g_str_has_prefix (row->key, FT_PREFIX_REGISTRY)) {
    ft_row_machine_parse (s, row);
  } else if (ft_key_chunk_parse (row->key, &ref, &chunk)) {
    ft_scheduler_load_done (s, ref, chunk, ft_row_chunk_bits (row->value));
  }
}

void
Node::load (const std::string &prefix, const std::string &after, Time began)
{
  guint64 term = term_;
  // Pages are small, so that they are crossed all the time.
  ask_store ([this, prefix, after] { return world_.store.list (prefix, after, 7); },
             [this, prefix, after, term, began] (guint status, const json_t *body) {
               if (term != term_)
                 return;
               gboolean more = FALSE;
               g_autoptr (GArray) rows = status == 200 ? ft_store_rows (body, &more) : nullptr;
               if (rows == nullptr) {
                 load (prefix, after, began);
                 return;
               }
               if (prefix == FT_PREFIX_OPEN && after.empty ())
                 ft_store_revision (body, &watch_since_);
               for (guint i = 0; i < rows->len; i++)
                 load_row (scheduler_.get (), &g_array_index (rows, FtRow, i), clock (), world_.now / 1000);
               if (more)
                 load (prefix, g_array_index (rows, FtRow, rows->len - 1).key, began);
               else if (prefix == FT_PREFIX_DONE)
                 load (FT_PREFIX_REGISTRY, "", clock ());
               else if (prefix == FT_PREFIX_OPEN) {
                 withdrawals_read_at_ = began; // the pages differ in age
                 load (FT_PREFIX_DONE, "", clock ());
               } else {
                 ft_scheduler_loaded (scheduler_.get (), clock ());
                 cancellations_known (withdrawals_read_at_);
               }
             });
}

void
Node::cancellations_known (Time at)
{
  ft_lease_cancellations_known (lease_.get (), at);
  ft_scheduler_cancellations_known (scheduler_.get (), at);
}

void
Node::watch ()
{
  if (watching_ || !ft_scheduler_is_loaded (scheduler_.get ()))
    return;
  watching_ = true;
  guint64 term = term_;
  Time sent = clock ();
  ask_watch (FT_PREFIX_OPEN, watch_since_, [this, term, sent] (guint status, const json_t *body) {
    if (term != term_)
      return;
    g_autoptr (GArray) rows = status == 200 ? ft_store_events (body) : nullptr;
    if (rows != nullptr) {
      ft_store_revision (body, &watch_since_);
      for (guint i = 0; i < rows->len; i++)
        load_row (scheduler_.get (), &g_array_index (rows, FtRow, i), clock (), world_.now / 1000);
      cancellations_known (sent);
      pump ();
    }
    later (kSecond / 4, [this, term] {
      if (term == term_)
        watching_ = false;
    });
  });
}

bool
Node::entitled () const
{
  return scheduler_ != nullptr && ft_lease_may_answer (lease_.get (), clock ());
}

Node::Answer
Node::heartbeat (const FtWorkerHeartbeat *heartbeat)
{
  Answer a;
  Time now = clock ();
  a.status = 421;
  if (!entitled ()) {
    const char *holder = ft_lease_holder (lease_.get ());
    if (holder != nullptr && name () != holder)
      a.answers_to = holder[strlen (holder) - 1] - '0';
    return a;
  }
  if (!ft_scheduler_heartbeat (scheduler_.get (), heartbeat, now)) {
    step_down ();
    return a;
  }
  ft_scheduler_place (scheduler_.get (), now, ft_lease_may_start (lease_.get (), now));
  a.status = 200;
  answers++;
  a.token = ft_lease_token (lease_.get ());
  a.orders = std::shared_ptr<GArray> (ft_scheduler_answer (scheduler_.get (), heartbeat, now),
                                      [] (GArray *x) { g_array_unref (x); });
  pump ();
  return a;
}

void
Node::batch_done (std::shared_ptr<GPtrArray> writes, bool applied, const char *conflicted)
{
  batching_ = false;
  if (applied)
    ft_scheduler_writes_committed (scheduler_.get (), writes.get (), clock ());
  else
    ft_scheduler_writes_failed (scheduler_.get (), writes.get (), conflicted, clock ());
  pump ();
}

void
Node::resolve_batch (std::shared_ptr<GPtrArray> writes, guint64 batch)
{
  guint64 term = term_;
  ask_store (
      [this] { return world_.store.get (FT_KEY_JOURNAL); },
      [this, term, writes, batch] (guint status, const json_t *body) {
        FtRow row;
        if (term != term_)
          return;
        if (status != 200 || !ft_store_row (body, &row)) {
          resolve_batch (writes, batch);
          return;
        }
        if ((guint64) json_integer_value (json_object_get (row.value, "token")) != ft_lease_token (lease_.get ())) {
          step_down ();
          return;
        }
        journal_stamp_ = row.revision;
        batch_done (writes, (guint64) json_integer_value (json_object_get (row.value, "batch")) == batch, nullptr);
      });
}

void
Node::commit_batch ()
{
  if (batching_)
    return;
  std::shared_ptr<GPtrArray> writes (
      ft_scheduler_next_writes (scheduler_.get (), (old ? world_.old_settings : world_.settings).txn_ops - 1,
                                batch_ % 2 == 0, clock ()),
      g_ptr_array_unref);
  if (writes->len == 0)
    return;
  batching_ = true;
  guint64 batch = ++batch_, term = term_;
  json_t *txn = ft_txn_new ();
  ft_txn_if (txn, FT_KEY_FENCE, ft_lease_fence_revision (lease_.get ()));
  ft_txn_if (txn, FT_KEY_JOURNAL, journal_stamp_);
  ft_txn_put (txn, FT_KEY_JOURNAL, ft_row_journal (ft_lease_token (lease_.get ()), batch));
  for (guint i = 0; i < writes->len; i++)
    ft_txn_add_write (txn, (const FtWrite *) g_ptr_array_index (writes.get (), i), old ? 0 : world_.now / 1000);
  commit (txn, [this, writes, batch, term] (guint status, const json_t *body) {
    if (term != term_)
      return;
    guint64 revision;
    if (status == 200 && ft_store_revision (body, &revision)) {
      journal_stamp_ = revision;
      batch_done (writes, true, nullptr);
    } else if (status == 409 && ft_store_failed (body, FT_KEY_FENCE)) {
      step_down ();
    } else if (status == 409 && !ft_store_failed (body, FT_KEY_JOURNAL)) {
      const char *found = ft_store_conflicted_job (body, writes.get ());
      std::string ref = found ? found : "";
      batch_done (writes, false, found);
      g_autofree char *key = ft_key_job (ref.c_str ());
      auto [code, row] = world_.store.get (key);
      FtJobRow state{};
      if (code == 200 && !ft_row_job_parse (json_object_get (row, "data"), &state))
        ADD_FAILURE () << "row of " << ref;
      if (scheduler_ && code == 200 && state.open)
        world_.checker->misled (ref);
      else if (scheduler_)
        ft_scheduler_job_conflict_resolved (scheduler_.get (), ref.c_str (),
                                            code == 200 && state.end == FT_JOB_END_DONE, clock ());
      json_decref (row);
    } else if (status == 503 || status == 429 || status == 400) {
      later (kSecond / 5, [this, term, writes] {
        if (term == term_)
          batch_done (writes, false, nullptr);
      });
    } else {
      resolve_batch (writes, batch);
    }
  });
}

// The ends of needed jobs that are not among the open ones.
void
Node::read_dependencies ()
{
  while (const char *next = ft_scheduler_next_unread_job (scheduler_.get (), clock ())) {
    std::string ref = next;
    guint64 term = term_;
    ask_store (
        [this, ref] {
          g_autofree char *key = ft_key_job (ref.c_str ());
          return world_.store.get (key);
        },
        [this, ref, term] (guint status, const json_t *body) {
          FtRow row;
          FtJobRow state;
          if (term != term_ || status != 200 || !ft_store_row (body, &row) || !ft_row_job_parse (row.value, &state)
              || state.open)
            return;
          world_.ends_read++;
          Time age = state.ended_wall_ms > 0 ? world_.now - state.ended_wall_ms * 1000 : -1;
          ft_scheduler_job_end_read (scheduler_.get (), ref.c_str (), state.end, age, clock ());
          pump ();
        });
  }
}

void
Node::send_directs ()
{
  while (FtDirect *made = ft_scheduler_next_direct (scheduler_.get (), clock ())) {
    std::shared_ptr<FtDirect> direct (made, ft_direct_free);
    guint64 term = term_, token = ft_lease_token (lease_.get ());
    auto done = std::make_shared<bool> (false);
    auto finish = [this, term, done, direct] (guint status, std::shared_ptr<FtWorkerHeartbeat> heartbeat) {
      if (*done || term != term_)
        return;
      *done = true;
      FtDirectResult result = status == 200 ? FT_DIRECT_OK : status == 409 ? FT_DIRECT_CONFLICT : FT_DIRECT_UNANSWERED;
      if (!ft_scheduler_direct_done (scheduler_.get (), direct.get (), result, heartbeat.get (), clock ()))
        step_down ();
      else
        pump ();
    };
    Time held = world_.chance (world_.late_directs) ? (Time) (world_.uniform (2, 20) * kSecond) : 0;
    auto arrive = [this, direct, token, finish, held] {
      auto it = world_.machines.find (direct->machine);
      if (it == world_.machines.end () || !it->second->up)
        return;
      auto [status, heartbeat] = it->second->commands (token, direct->incarnation, direct->commands);
      world_.late_executed += held > 0 && status == 200 && direct->commands->len > 0;
      world_.late_refused += held > 0 && status == 409 && heartbeat->token > token;
      if (status == 200 && world_.chance (world_.copies)) {
        auto worker = it->second;
        world_.after ((Time) (world_.uniform (1, 1.5 * world_.settings.lease_s) * kSecond), [worker, direct, token] {
          if (worker->alive)
            ft_worker_heartbeat_free (worker->commands (token, direct->incarnation, direct->commands).second);
        });
      }
      std::shared_ptr<FtWorkerHeartbeat> shared (heartbeat, ft_worker_heartbeat_free);
      guint code = status;
      world_.deliver (direct->machine, name (), [finish, code, shared] { finish (code, shared); });
    };
    World &world = world_;
    world_.after (held, [&world, from = name (), direct, arrive] { world.deliver (from, direct->machine, arrive); });
    later ((Time) (FT_COMMAND_TIMEOUT_S * kSecond), [finish] { finish (0, nullptr); });
  }
}

void
Node::call_cloud ()
{
  if (cloud_busy_)
    return;
  FtCloudCall *made = ft_scheduler_next_cloud (scheduler_.get (), clock ());
  if (made == nullptr)
    return;
  cloud_busy_ = true;
  std::shared_ptr<FtCloudCall> call (made, ft_cloud_call_free);
  guint64 term = term_;
  auto done = std::make_shared<bool> (false);
  auto finish = [this, call, term, done] (FtCloudResult result) {
    if (*done || term != term_)
      return;
    *done = true;
    cloud_busy_ = false;
    ft_scheduler_cloud_done (scheduler_.get (), call.get (), result, clock ());
    pump ();
  };
  Time late = world_.chance (world_.late_rentals) ? (Time) (world_.uniform (5, 40) * kSecond) : 0;
  auto execute = [this, call, finish, late] {
    FtCloudResult result = FT_CLOUD_OK;
    if (call->op == FT_CLOUD_SCALE_IN) {
      for (guint i = 0; i < call->names->len; i++) {
        auto it = world_.machines.find ((const char *) g_ptr_array_index (call->names, i));
        if (it != world_.machines.end ())
          it->second->die ();
      }
    } else {
      auto &names = world_.bookings[call->booking];
      for (guint i = 0;
           names.size () < call->count && i < call->count && world_.alive_machines () < world_.most_machines; i++) {
        char text[16];
        g_snprintf (text, sizeof text, "n-%06u", world_.machine_count++);
        auto worker = std::make_shared<Worker> (world_, text, call->zone, call->spot);
        world_.machines[text] = worker;
        names.push_back (text);
        world_.rented_late += late > 0;
        if (world_.chance (world_.boot_fail))
          continue; // it stays "starting" until it is deleted
        double slow = world_.chance (world_.boot_fail) ? 3 : 1;
        Time boot = (Time) (world_.uniform (world_.boot_least, world_.boot_most) * slow * kSecond);
        world_.after (boot, [worker] {
          if (worker->alive)
            worker->boot ();
        });
      }
      if (names.empty ()) {
        world_.bookings.erase (call->booking);
        result = FT_CLOUD_REFUSED;
      }
    }
    world_.deliver ("cloud", name (), [this, call, finish, result] {
      if (call->op == FT_CLOUD_SCALE_OUT && call->names->len == 0 && result == FT_CLOUD_OK)
        for (const std::string &machine : world_.bookings[call->booking])
          g_ptr_array_add (call->names, g_strdup (machine.c_str ()));
      finish (result);
    });
  };
  World &world = world_;
  world_.after (late, [&world, from = name (), execute] { world.deliver (from, "cloud", execute); });
  later (5 * kSecond, [finish] { finish (FT_CLOUD_FAILED); });
}

void
Node::list_machines ()
{
  if (clock () < next_list_ || !ft_scheduler_is_loaded (scheduler_.get ()))
    return;
  next_list_ = clock () + 4 * kSecond;
  auto cut = world_.cuts.find ({ name (), "cloud" });
  if (cut != world_.cuts.end () && cut->second > world_.now)
    return;
  guint64 term = term_;
  std::shared_ptr<GArray> list (ft_listed_new (), [] (GArray *a) { g_array_unref (a); });
  for (auto &[machine, worker] : world_.machines) {
    if (!worker->alive && world_.chance (0.7))
      continue; // sometimes still listed
    FtListedMachine entry = { g_strdup (machine.c_str ()),
                              nullptr,
                              g_strdup ("std"),
                              g_strdup (worker->zone.c_str ()),
                              worker->spot,
                              worker->up ? FT_LISTED_RUNNING : FT_LISTED_BOOTING,
                              1.0 };
    g_array_append_val (list.get (), entry);
  }
  // The list is as old as its lag when it comes.
  later ((Time) (world_.uniform (0.5, 2) * world_.settings.list_lag_s * kSecond), [this, term, list] {
    if (term == term_ && scheduler_)
      ft_scheduler_listed (scheduler_.get (), list.get (), clock ());
  });
}

void
Node::pump ()
{
  if (scheduler_ == nullptr || !ft_scheduler_is_loaded (scheduler_.get ()))
    return;
  ft_scheduler_place (scheduler_.get (), clock (), ft_lease_may_start (lease_.get (), clock ()));
  commit_batch ();
  read_dependencies ();
  send_directs ();
  call_cloud ();
}

void
Node::tick ()
{
  if (!alive)
    return;
  lease_tick ();
  if (scheduler_ != nullptr) {
    watch ();
    list_machines ();
    ft_scheduler_tick (scheduler_.get (), clock (), ft_lease_may_start (lease_.get (), clock ()));
    pump ();
  }
  guint64 life = life_;
  later (kSecond / 5, [this, life] {
    if (life == life_)
      tick ();
  });
}

// ---- users: what src/net/user_api.c does, asked of any live node ----

void
World::submit (const std::string &ref, guint tasks, double cpus, double run, const std::string &team, bool one_zone,
               bool spread, bool spot, std::vector<std::string> dependencies)
{
  Checker::Job job;
  job.submitted = now;
  job.job_class = spot ? "sim" : "ordinary";
  job.team = team;
  job.cpus = cpus;
  job.tasks = tasks;
  job.spot = spot;
  job.one_zone = one_zone;
  job.spread = spread;
  job.dependencies = dependencies;
  checker->submitted (ref, job);
  run_s[ref] = run;
  FtJobSpec spec{};
  spec.ref = (char *) ref.c_str ();
  spec.job_class = (char *) "sim";
  spec.team = (char *) team.c_str ();
  spec.priority = chance (0.4) ? FT_PRIORITY_HIGH : FT_PRIORITY_NORMAL;
  spec.tasks = tasks;
  spec.cpus = cpus;
  spec.memory_gb = 2;
  spec.image = (char *) (chance (0.5) ? "img-1" : "img-2");
  spec.image_gb = 1;
  spec.one_zone = one_zone;
  spec.spread = spread;
  spec.spot = spot;
  spec.estimate_s = run;
  spec.deadline_s = run * 3;
  spec.submitted_wall_ms = now / 1000;
  std::vector<char *> refs;
  for (const std::string &dependency : dependencies)
    refs.push_back ((char *) dependency.c_str ());
  refs.push_back (nullptr);
  spec.dependencies = dependencies.empty () ? nullptr : refs.data ();
  std::shared_ptr<json_t> txn (ft_txn_new (), json_decref);
  g_autofree char *key = ft_key_job (ref.c_str ()), *open = ft_key_open (ref.c_str ());
  ft_txn_if (txn.get (), key, 0);
  ft_txn_put (txn.get (), key, ft_row_job_open (&spec));
  ft_txn_put (txn.get (), open, ft_row_open (&spec));
  std::shared_ptr<json_t> over (ft_txn_new (), json_decref);
  ft_txn_if (over.get (), key, 0);
  ft_txn_put (over.get (), key, ft_row_job_ended (FT_JOB_END_CANCELLED, tasks, now / 1000));
  auto attempt = std::make_shared<std::function<void ()> > ();
  std::weak_ptr<std::function<void ()> > weak = attempt;
  *attempt = [this, txn, over, ref, weak, dependencies] {
    auto again = weak.lock ();
    if (store.down || chance (0.1)) {
      after (kSecond, [again] { (*again) (); });
      return;
    }
    bool cancelled = std::any_of (dependencies.begin (), dependencies.end (),
                                  [this] (const std::string &dependency) { return cancelled_before (dependency); });
    auto [status, body] = store.commit (cancelled ? over.get () : txn.get (), now);
    json_decref (body);
    if (chance (0.05))
      after (kSecond, [again] { (*again) (); }); // the answer was lost
    else if (status == 200)
      checker->told (now, ref, cancelled ? "cancelled" : "queued");
    else if (status == 429)
      after (kSecond, [again] { (*again) (); });
    else
      poll (ref);
  };
  (*attempt) ();
  at (now + 3600 * kSecond, [attempt] {}); // keeps it alive
}

void
World::poll (const std::string &ref)
{
  // Some node is asked; one that cannot read the store says so.
  bool served = nodes[below (3)]->served ();
  checker->asked (now, ref, served);
  if (served)
    tell (ref);
}

// What src/net/ancestors.c finds in the rows: something before the job is cancelled.
bool
World::cancelled_before (const std::string &ref) const
{
  std::vector<std::string> todo = { ref };
  std::set<std::string> seen;
  while (!todo.empty ()) {
    std::string at = todo.back ();
    todo.pop_back ();
    if (!seen.insert (at).second)
      continue;
    g_autofree char *key = ft_key_job (at.c_str ()), *open = ft_key_open (at.c_str ());
    auto [status, body] = store.get (key);
    FtJobRow state{};
    bool read = status == 200 && ft_row_job_parse (json_object_get (body, "data"), &state);
    json_decref (body);
    if (read && !state.open && state.end == FT_JOB_END_CANCELLED)
      return true;
    if (!read || !state.open || !state.has_dependencies)
      continue;
    auto [code, row] = store.get (open);
    g_autoptr (FtJobSpec) spec = code == 200 ? ft_row_open_parse (at.c_str (), json_object_get (row, "data")) : nullptr;
    for (guint i = 0; spec != nullptr && spec->dependencies != nullptr && spec->dependencies[i] != nullptr; i++)
      todo.push_back (spec->dependencies[i]);
    json_decref (row);
  }
  return false;
}

void
World::tell (const std::string &ref)
{
  if (polls_find_cancelled && cancelled_before (ref))
    cancelled_by_poll += commit_withdrawal (ref);
  g_autofree char *key = ft_key_job (ref.c_str ());
  auto [status, body] = store.get (key);
  FtJobRow state;
  if (status != 200 || !ft_row_job_parse (json_object_get (body, "data"), &state))
    checker->told (now, ref, "");
  else
    checker->told (now, ref, state.open ? "open" : state.end == FT_JOB_END_DONE ? "done" : "cancelled");
  json_decref (body);
}

// At once, if it is open still.
bool
World::commit_withdrawal (const std::string &ref)
{
  g_autofree char *key = ft_key_job (ref.c_str ()), *mark = ft_key_cancellation (ref.c_str ());
  auto [status, body] = store.get (key);
  FtRow row;
  FtJobRow state;
  bool open = status == 200 && ft_store_row (body, &row) && ft_row_job_parse (row.value, &state) && state.open;
  std::shared_ptr<json_t> txn (ft_txn_new (), json_decref);
  if (open) {
    ft_txn_if (txn.get (), key, row.revision);
    ft_txn_put (txn.get (), key, ft_row_job_ended (FT_JOB_END_CANCELLED, state.tasks, now / 1000));
    ft_txn_put (txn.get (), mark, ft_row_cancellation (now / 1000));
  }
  json_decref (body);
  if (!open)
    return false;
  auto [code, answer] = store.commit (txn.get (), now);
  json_decref (answer);
  return code == 200;
}

void
World::cancel (const std::string &ref)
{
  checker->cancel_asked (ref);
  Node &asked = *nodes[below (3)];
  if (!asked.served ()) {
    after (kSecond, [this, ref] { cancel (ref); });
    return;
  }
  g_autofree char *key = ft_key_job (ref.c_str ()), *mark = ft_key_cancellation (ref.c_str ());
  auto [status, body] = store.get (key);
  FtRow row;
  FtJobRow state;
  if (status == 200 && ft_store_row (body, &row) && ft_row_job_parse (row.value, &state) && state.open) {
    json_t *txn = ft_txn_new ();
    ft_txn_if (txn, key, row.revision);
    ft_txn_put (txn, key, ft_row_job_ended (FT_JOB_END_CANCELLED, state.tasks, now / 1000));
    ft_txn_put (txn, mark, ft_row_cancellation (now / 1000));
    std::shared_ptr<json_t> owned (txn, json_decref);
    json_decref (body);
    auto apply = [this, owned] {
      auto [code, answer] = store.commit (owned.get (), now);
      json_decref (answer);
      return code;
    };
    if (chance (late_writes)) {
      after ((Time) (uniform (2, 12) * kSecond), [this, apply] { late_applied += apply () == 200; });
      after (kSecond, [this, ref] { cancel (ref); });
      return;
    }
    if (apply () == 200)
      asked.confirmed (ref);
  } else {
    json_decref (body);
  }
  checker->asked (now, ref, true);
  tell (ref);
}

// ---- submissions that can never run, or lack a field ----

bool
World::odd_request (const std::string &ref)
{
  static const char *const needed[]
      = { "ref",    "lane",    "crew",     "shape", "urgency", "pieces",  "cores",      "cards",   "mem_gb",
          "bundle", "pull_gb", "one_zone", "apart", "loaners", "guess_s", "bookmark_s", "shelve_s" };
  std::shared_ptr<json_t> body (
      json_pack ("{s:s, s:s, s:s, s:s, s:s, s:i, s:f, s:f, s:f, s:s, s:f, s:b, s:b, s:b, s:f, s:f, s:f}", "ref",
                 ref.c_str (), "lane", "sim", "crew", "red", "shape", "array", "urgency", "high", "pieces", 2, "cores",
                 2.0, "cards", 0.0, "mem_gb", 2.0, "bundle", "img-1", "pull_gb", 1.0, "one_zone", 0, "apart", 0,
                 "loaners", 1, "guess_s", 5.0, "bookmark_s", 0.0, "shelve_s", 0.0),
      json_decref);
  switch (below (4)) {
  case 0:
    json_object_del (body.get (), needed[below (G_N_ELEMENTS (needed))]);
    break;
  case 1:
    json_object_set_new (body.get (), "crew", json_string ("nobody"));
    break;
  case 2:
    json_object_set_new (body.get (), "cores", json_real (16.5));
    break; // no machine is as large
  case 3:
    json_object_set_new (body.get (), "mem_gb", json_real (65));
    break;
  }
  const char *why;
  g_autoptr (FtJobSpec) spec = ft_message_job (body.get ());
  if (spec == nullptr || ft_admission_check (&settings, catalog, spec, &why) != FT_ADMIT)
    return false;
  Checker::Job job;
  job.can_run = false;
  checker->submitted (ref, job);
  checker->told (now, ref, "queued");
  return true;
}

// ---- jobs that wait although they could run ----

bool
World::could_run (const std::string &ref, const Checker::Job &job) const
{
  std::map<std::string, double> used;
  guint placed = 0;
  if (!checker->needs_done (job))
    return false;
  for (const auto &[name, worker] : machines)
    for (const TaskOn &t : worker->tasks_)
      if (worker->alive && t.state != FT_TASK_PHASE_EXITED) {
        used[checker->jobs ().at (t.job).team] += checker->jobs ().at (t.job).cpus;
        placed += t.job == ref;
      }
  if (placed + job.done.size () >= job.tasks)
    return false;
  for (guint i = 0; i < settings.n_teams; i++)
    if (job.team == settings.teams[i].name && settings.teams[i].cpus_max > 0
        && used[job.team] + job.cpus > settings.teams[i].cpus_max + 1e-6)
      return false;
  for (const auto &[name, w] : machines) {
    if (!w->alive || !w->up || now < std::max ({ w->hung_until, w->deaf_until, w->mute_until }) || failing.count (name)
        || (w->spot && !job.spot) || (!job.zone.empty () && job.zone != w->zone))
      continue;
    guint here = checker->live_in (ref, w->zone), all = checker->live (ref);
    if ((job.one_zone && here < all) || (job.spread && here + 1 > (job.tasks + 1) / 2))
      continue;
    double taken = 0;
    for (const TaskOn &t : w->tasks_)
      taken += t.state != FT_TASK_PHASE_EXITED ? checker->jobs ().at (t.job).cpus : 0;
    if (taken + job.cpus <= 16 + 1e-6)
      return true;
  }
  return false;
}

void
World::look_at_waiting ()
{
  for (const auto &[ref, job] : checker->jobs ())
    if (job.accepted && !job.cancel_asked && job.final_told.empty ())
      checker->waits (now, ref, could_run (ref, job));
}

} // namespace sim
