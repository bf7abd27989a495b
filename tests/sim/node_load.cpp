// Recovery of a new leader: the rows that it reads before it serves, and the watch and the reads by
// which it follows the store afterwards.
#include "node.hpp"

#include <gtest/gtest.h>

#include "world.hpp"

extern "C" {
#include "wire/store.h"
}

namespace sim {

// Rows per page; small, so that recoveries read several pages.
static constexpr guint kPageRows = 7;
// Pause between the end of a watch and the next one.
static constexpr Time kWatchPause = kSecond / 4;

// Reads all rows with the prefix, page by page, and then those with the next prefix.
// `began`: the time at which the first page of this prefix was requested.
void
Node::load (const std::string &prefix, const std::string &after, Time began)
{
  auto on_page = [this, prefix, after, began] (guint status, const json_t *body) {
    gboolean more = FALSE;
    g_autoptr (GArray) rows = status == 200 ? ft_store_rows (body, &more) : nullptr;
    if (rows == nullptr) {
      load (prefix, after, began);
      return;
    }
    if (prefix == FT_PREFIX_OPEN && after.empty ())
      ft_store_revision (body, &watch_since_);
    for (guint i = 0; i < rows->len; i++)
      apply_row (&g_array_index (rows, FtRow, i));
    if (more)
      load (prefix, g_array_index (rows, FtRow, rows->len - 1).key, began);
    else
      load_next (prefix, began);
  };
  request_store ([this, prefix, after] { return world_.store.list (prefix, after, kPageRows); }, in_term (on_page));
}

// Starts reading the next prefix. The order is open jobs, done tasks, machine registry; after the last
// one the scheduler may serve.
void
Node::load_next (const std::string &prefix, Time began)
{
  if (prefix == FT_PREFIX_OPEN) {
    cancellations_read_at_ = began; // the pages differ in age, and the first one is the oldest
    load (FT_PREFIX_DONE, "", clock ());
  } else if (prefix == FT_PREFIX_DONE) {
    load (FT_PREFIX_REGISTRY, "", clock ());
  } else {
    ft_scheduler_loaded (scheduler_.get (), clock ());
    cancellations_known (cancellations_read_at_);
  }
}

// Passes a row that was read, or received by the watch, to the scheduler.
void
Node::apply_row (const FtRow *row)
{
  g_autoptr (GError) error = nullptr;
  if (!ft_row_apply (scheduler_.get (), row, clock (), world_.now / 1000, &error))
    ADD_FAILURE () << error->message;
}

// Reports that every cancellation committed before `at` has been read.
void
Node::cancellations_known (Time at)
{
  ft_lease_cancellations_known (lease_.get (), at);
  ft_scheduler_set_cancellations_known_until (scheduler_.get (), at);
}

// Watches the rows of open jobs. At most one request is in flight.
void
Node::watch ()
{
  if (watching_ || !ft_scheduler_is_loaded (scheduler_.get ()))
    return;
  watching_ = true;
  auto on_events = [this, sent = clock ()] (guint status, const json_t *body) {
    g_autoptr (GArray) rows = status == 200 ? ft_store_events (body) : nullptr;
    if (rows != nullptr) {
      ft_store_revision (body, &watch_since_);
      for (guint i = 0; i < rows->len; i++)
        apply_row (&g_array_index (rows, FtRow, i));
      cancellations_known (sent);
      run_leader ();
    }
    schedule_in_term (kWatchPause, [this] { watching_ = false; });
  };
  request_watch (FT_PREFIX_OPEN, watch_since_, in_term (on_events));
}

// ---- dependencies that are not among the open jobs ----

// Reads the state row of each dependency that the scheduler requests.
void
Node::read_dependencies ()
{
  while (const char *ref = ft_scheduler_next_unread_job (scheduler_.get (), clock ()))
    read_job_end (ref);
}

// Reads a job's state row, and reports its end to the scheduler if it has ended.
void
Node::read_job_end (const std::string &ref)
{
  g_autofree char *key = ft_key_job (ref.c_str ());
  auto on_job_row = [this, ref] (guint status, const json_t *body) {
    FtRow row;
    FtJobRow state;
    if (status != 200 || !ft_store_row (body, &row) || !ft_row_job_parse (row.value, &state) || state.open)
      return;
    world_.counters.dependency_ends_read++;
    Time age = state.ended_wall_ms > 0 ? world_.now - state.ended_wall_ms * 1000 : -1;
    ft_scheduler_job_end_read (scheduler_.get (), ref.c_str (), state.end, age, clock ());
    run_leader ();
  };
  request_store ([this, key = std::string (key)] { return world_.store.get (key); }, in_term (on_job_row));
}

} // namespace sim
