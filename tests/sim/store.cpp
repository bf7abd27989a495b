#include "store.hpp"

#include <algorithm>

namespace sim {

// The limit on conditions in a transaction, as a multiple of the limit on changes.
static constexpr guint kConditionsPerChange = 4;

static bool
has_prefix (const std::string &key, const std::string &prefix)
{
  return key.rfind (prefix, 0) == 0;
}

static const char *
string_member (const json_t *object, const char *name)
{
  return json_string_value (json_object_get (object, name));
}

void
Store::limit (double value_kb, guint txn_ops, double write_rps)
{
  value_bytes_ = value_kb * 1024;
  txn_ops_ = txn_ops;
  write_rps_ = write_allowance_ = write_rps;
}

bool
Store::within_limits (const json_t *transaction) const
{
  size_t i;
  json_t *change;
  const json_t *changes = json_object_get (transaction, "apply");
  if (txn_ops_ > 0 && json_array_size (changes) > txn_ops_)
    return false;
  if (txn_ops_ > 0 && json_array_size (json_object_get (transaction, "if")) > kConditionsPerChange * txn_ops_)
    return false;
  json_array_foreach (changes, i, change)
  {
    const json_t *data = json_object_get (change, "data");
    if (value_bytes_ > 0 && data != nullptr && (double) json_dumpb (data, nullptr, 0, 0) > value_bytes_)
      return false;
  }
  return true;
}

// Whether the write rate admits the transaction. The changes of one second may come in one burst.
bool
Store::within_rate (const json_t *transaction, Time now)
{
  if (write_rps_ == 0)
    return true;
  write_allowance_ = std::min (write_rps_, write_allowance_ + write_rps_ * (double) (now - allowance_at_) / kSecond);
  allowance_at_ = now;
  auto changes = (double) json_array_size (json_object_get (transaction, "apply"));
  if (changes > write_allowance_)
    return false;
  write_allowance_ -= changes;
  return true;
}

// Returns the keys whose rows are not at the revision that the transaction requires; the caller owns the list.
json_t *
Store::failed_conditions (const json_t *transaction) const
{
  size_t i;
  json_t *condition;
  json_t *failed = json_array ();
  json_array_foreach (json_object_get (transaction, "if"), i, condition)
  {
    const char *key = string_member (condition, "key");
    auto row = rows_.find (key);
    guint64 found = row == rows_.end () ? 0 : row->second.revision;
    if (found != (guint64) json_integer_value (json_object_get (condition, "stamp")))
      json_array_append_new (failed, json_string (key));
  }
  return failed;
}

// Applies one change at the store's current revision.
void
Store::apply (const json_t *change)
{
  const char *written = string_member (change, "write");
  std::string key = written != nullptr ? written : string_member (change, "delete");
  bool existed = rows_.erase (key) > 0;
  if (written == nullptr && !existed)
    return;
  Json value;
  if (written != nullptr) {
    value = adopt (json_deep_copy (json_object_get (change, "data")));
    rows_[key] = { value, revision };
  }
  log_.push_back ({ key, value, revision });
}

Store::RawAnswer
Store::commit (const json_t *transaction, Time now)
{
  if (!within_limits (transaction)) {
    too_large++;
    return { 400, json_pack ("{s:s}", "error", "too large") };
  }
  if (!within_rate (transaction, now)) {
    too_many++;
    return { 429, nullptr };
  }
  json_t *failed = failed_conditions (transaction);
  if (json_array_size (failed) > 0)
    return { 409, json_pack ("{s:o, s:I}", "failed", failed, "ledger", (json_int_t) revision) };
  json_decref (failed);
  size_t i;
  json_t *change;
  const json_t *changes = json_object_get (transaction, "apply");
  if (json_array_size (changes) > 0)
    revision++;
  json_array_foreach (changes, i, change) apply (change);
  return { 200, json_pack ("{s:I}", "ledger", (json_int_t) revision) };
}

// Returns a row in the form of an answer; the caller owns it.
json_t *
Store::row_body (const std::pair<const std::string, Row> &row)
{
  return json_pack ("{s:s, s:O, s:I}", "key", row.first.c_str (), "data", row.second.value.get (), "stamp",
                    (json_int_t) row.second.revision);
}

Store::RawAnswer
Store::get (const std::string &key) const
{
  auto row = rows_.find (key);
  if (row == rows_.end ())
    return { 404, json_pack ("{s:I}", "ledger", (json_int_t) revision) };
  return { 200, row_body (*row) };
}

Store::RawAnswer
Store::list (const std::string &prefix, const std::string &after, guint limit) const
{
  json_t *items = json_array ();
  auto row = after.empty () ? rows_.lower_bound (prefix) : rows_.upper_bound (after);
  for (; row != rows_.end () && has_prefix (row->first, prefix) && json_array_size (items) < limit; ++row)
    json_array_append_new (items, row_body (*row));
  bool more = row != rows_.end () && has_prefix (row->first, prefix);
  return { 200, json_pack ("{s:o, s:b, s:I}", "pairs", items, "more", more, "ledger", (json_int_t) revision) };
}

json_t *
Store::dump () const
{
  json_t *all = json_object ();
  for (const auto &[key, row] : rows_)
    json_object_set (all, key.c_str (), row.value.get ());
  return all;
}

bool
Store::has_changes (const std::string &prefix, guint64 since) const
{
  return std::any_of (log_.begin (), log_.end (), [&] (const Change &change) {
    return change.revision > since && has_prefix (change.key, prefix);
  });
}

Store::RawAnswer
Store::read_changes (const std::string &prefix, guint64 since) const
{
  json_t *events = json_array ();
  for (const Change &change : log_) {
    if (change.revision <= since || !has_prefix (change.key, prefix))
      continue;
    json_t *event = json_pack ("{s:s, s:I}", change.value ? "write" : "delete", change.key.c_str (), "stamp",
                               (json_int_t) change.revision);
    if (change.value)
      json_object_set (event, "data", change.value.get ());
    json_array_append_new (events, event);
  }
  return { 200, json_pack ("{s:o, s:I}", "events", events, "ledger", (json_int_t) revision) };
}

} // namespace sim
