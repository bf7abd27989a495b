// What a new leader reads before it serves, and how it keeps up with the store then.
#include "node.hpp"

#include <gtest/gtest.h>

#include "world.hpp"

extern "C" {
#include "wire/store.h"
}

namespace sim {

// Rows of a page: few, so that page borders are crossed all the time.
static constexpr guint kPageRows = 7;
static constexpr Time kWatchPause = kSecond / 4;

// Reads everything below the prefix page by page, then the next prefix.
// `began`: when the prefix's first page was requested.
void
Node::load (const std::string &prefix, const std::string &after, Time began)
{
  auto take_page = [this, prefix, after, began] (guint status, const json_t *body) {
    gboolean more = FALSE;
    g_autoptr (GArray) rows = status == 200 ? ft_store_rows (body, &more) : nullptr;
    if (rows == nullptr) {
      load (prefix, after, began);
      return;
    }
    if (prefix == FT_PREFIX_OPEN && after.empty ())
      ft_store_revision (body, &watch_since_);
    for (guint i = 0; i < rows->len; i++)
      take_row (&g_array_index (rows, FtRow, i));
    if (more)
      load (prefix, g_array_index (rows, FtRow, rows->len - 1).key, began);
    else
      load_next (prefix, began);
  };
  request_store ([this, prefix, after] { return world_.store.list (prefix, after, kPageRows); }, in_term (take_page));
}

// Open jobs, done tasks, machines; then it may serve.
void
Node::load_next (const std::string &prefix, Time began)
{
  if (prefix == FT_PREFIX_OPEN) {
    cancellations_read_at_ = began; // the pages differ in age
    load (FT_PREFIX_DONE, "", clock ());
  } else if (prefix == FT_PREFIX_DONE) {
    load (FT_PREFIX_REGISTRY, "", clock ());
  } else {
    ft_scheduler_loaded (scheduler_.get (), clock ());
    cancellations_known (cancellations_read_at_);
  }
}

// A row that was read or came by the watch.
void
Node::take_row (const FtRow *row)
{
  g_autoptr (GError) error = nullptr;
  if (!ft_row_take (scheduler_.get (), row, clock (), world_.now / 1000, &error))
    ADD_FAILURE () << error->message;
}

void
Node::cancellations_known (Time at)
{
  ft_lease_cancellations_known (lease_.get (), at);
  ft_scheduler_cancellations_known (scheduler_.get (), at);
}

// Follows the open jobs; one request is always open.
void
Node::watch ()
{
  if (watching_ || !ft_scheduler_is_loaded (scheduler_.get ()))
    return;
  watching_ = true;
  auto take_events = [this, sent = clock ()] (guint status, const json_t *body) {
    g_autoptr (GArray) rows = status == 200 ? ft_store_events (body) : nullptr;
    if (rows != nullptr) {
      ft_store_revision (body, &watch_since_);
      for (guint i = 0; i < rows->len; i++)
        take_row (&g_array_index (rows, FtRow, i));
      cancellations_known (sent);
      run_leader ();
    }
    schedule_in_term (kWatchPause, [this] { watching_ = false; });
  };
  request_watch (FT_PREFIX_OPEN, watch_since_, in_term (take_events));
}

// ---- the ends of dependencies that are not among the open jobs ----

void
Node::read_dependencies ()
{
  while (const char *ref = ft_scheduler_next_unread_job (scheduler_.get (), clock ()))
    read_job_end (ref);
}

void
Node::read_job_end (const std::string &ref)
{
  g_autofree char *key = ft_key_job (ref.c_str ());
  auto take_end = [this, ref] (guint status, const json_t *body) {
    FtRow row;
    FtJobRow state;
    if (status != 200 || !ft_store_row (body, &row) || !ft_row_job_parse (row.value, &state) || state.open)
      return;
    world_.counters.dependency_ends_read++;
    Time age = state.ended_wall_ms > 0 ? world_.now - state.ended_wall_ms * 1000 : -1;
    ft_scheduler_job_end_read (scheduler_.get (), ref.c_str (), state.end, age, clock ());
    run_leader ();
  };
  request_store ([this, key = std::string (key)] { return world_.store.get (key); }, in_term (take_end));
}

} // namespace sim
