// Stand-in for the key-value store (the "state service" of the protocol). It is strongly
// consistent and has conditional transactions, paged lists and watches.
//
// The simulated world calls it directly; the tests of the real program serve it over
// HTTP (loopback.hpp). It draws no random numbers: delays and losses happen in the network.
#pragma once
#include "clock.hpp"
#include "handles.hpp"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace sim {

class Store {
public:
  // HTTP status and body of an answer as in the protocol; the caller owns the body, which may be null.
  using RawAnswer = std::pair<guint, json_t *>;

  // Executes a transaction at once. Status 200: applied; 409: a condition did not hold; 400: too large;
  // 429: above the write rate. `now` is used only if the write rate is limited.
  RawAnswer commit (const json_t *transaction, Time now = 0);
  // Reads one row; status 404 if there is none.
  RawAnswer get (const std::string &key) const;
  // Lists a page of at most `limit` rows whose keys begin with the prefix and come after the key `after`.
  RawAnswer list (const std::string &prefix, const std::string &after, guint limit) const;
  // The changes to keys with that prefix after revision `since`. Answers at once, even if there are none.
  RawAnswer read_changes (const std::string &prefix, guint64 since) const;
  // Whether read_changes() would return any change.
  bool has_changes (const std::string &prefix, guint64 since) const;
  // All rows as one object {key: value}; the caller owns it.
  json_t *dump () const;

  // Sets the limits: KiB per value, changes per transaction and changes per second. 0 means no limit.
  void limit (double value_kb, guint txn_ops, double write_rps);

  guint64 revision = 0; // revision of the newest transaction
  bool down = false;    // an outage: the simulated controllers' requests get 503
  guint too_large = 0;  // transactions refused for their size
  guint too_many = 0;   // transactions refused for their rate

private:
  struct Row {
    Json value;
    guint64 revision;
  };
  struct Change {
    std::string key;
    Json value; // empty: the row was deleted
    guint64 revision;
  };

  static json_t *row_body (const std::pair<const std::string, Row> &row);
  bool within_limits (const json_t *transaction) const;
  bool within_rate (const json_t *transaction, Time now);
  json_t *failed_conditions (const json_t *transaction) const;
  void apply (const json_t *change);

  std::map<std::string, Row> rows_;
  std::vector<Change> log_;
  guint txn_ops_ = 0;
  double value_bytes_ = 0, write_rps_ = 0;
  double write_allowance_ = 0; // changes that may come in one burst, as of allowance_at_
  Time allowance_at_ = 0;
};

// An answer of the store, like Store::RawAnswer, but owning its body.
struct StoreAnswer {
  StoreAnswer (Store::RawAnswer raw) : status (raw.first), body (adopt (raw.second)) {}
  guint status;
  Json body;
};

} // namespace sim
