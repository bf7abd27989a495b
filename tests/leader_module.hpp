// The parts of a controller around one module of the leader: a term whose scheduler has loaded the store's rows, and a
// stand-in for the store. A test adds the module itself.
#pragma once
#include "core_state.hpp"
#include "store_stand_in.hpp"

extern "C" {
#include "core/duration.h"
#include "core/lease.h"
#include "core/scheduler.h"
#include "net/leader_term.h"
#include "net/malformed.h"
#include "net/metrics.h"
}

namespace loopback {

class LeaderModule : public testing::Test {
protected:
  CoreState core;
  FtNode node{};
  FtLeaderTerm term{};
  StoreStandIn stand_in;

  void
  SetUp () override
  {
    gint64 now = g_get_monotonic_time ();
    stand_in.make_client (StoreStandIn::kManyRequests);
    node.config = &stand_in.config;
    node.store = stand_in.client;
    node.random = g_rand_new_with_seed (1);
    node.metrics = ft_metrics_new ();
    node.malformed = ft_malformed_log_new ("hearth-0", node.metrics);
    node.lease = ft_lease_new ("hearth-0", 1, ft_seconds (8), ft_seconds (2), ft_seconds (18), 1);
    term.node = &node;
    term.number = 1;
    term.scheduler = ft_scheduler_new (&core.settings, core.context.catalog, { 7, 7 }, ft_seconds (18), now, 1);
    term.progress = [] (gpointer) {};
    ft_scheduler_loaded (term.scheduler, now);
  }
  // Frees the module under test.
  virtual void free_module () = 0;
  void
  TearDown () override
  {
    stand_in.answer_open_requests ();
    term.number++;
    g_clear_pointer (&term.scheduler, ft_scheduler_free);
    wait_for ([&] { return ft_store_client_in_flight (node.store) == 0; });
    stand_in.free_client ();
    free_module ();
    ft_lease_free (node.lease);
    ft_malformed_log_free (node.malformed);
    ft_metrics_free (node.metrics);
    g_rand_free (node.random);
  }
};

} // namespace loopback
