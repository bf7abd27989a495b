// Stand-in for the key-value store (the "state service" of the protocol): strongly
// consistent, with conditional transactions, lists in pages and watches.
//
// The simulated world calls it directly; the tests of the real program serve it over
// HTTP (loopback.hpp). It holds no randomness: delays and losses are the network's.
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
  // Status and body of an answer as the protocol has them; the caller owns the body.
  using RawAnswer = std::pair<guint, json_t *>;

  // Executes a transaction at once. `now` is needed only with a limit on the rate.
  RawAnswer commit (const json_t *transaction, Time now = 0);
  // One row, or 404.
  RawAnswer get (const std::string &key) const;
  // A page of at most `limit` rows below the prefix, behind the key `after`.
  RawAnswer list (const std::string &prefix, const std::string &after, guint limit) const;
  // The changes below the prefix since that revision; answers at once, also if there are none.
  RawAnswer follow (const std::string &prefix, guint64 since) const;
  // Whether follow() would have something to tell.
  bool changed (const std::string &prefix, guint64 since) const;
  // Everything in it, as {key: value}; the caller owns the result.
  json_t *dump () const;

  // Limits from here on: KiB of a value, changes of a transaction, changes a second; 0: none.
  void limit (double value_kb, guint txn_ops, double write_rps);

  guint64 revision = 0; // of the newest transaction
  bool down = false;    // the simulated controllers get no service
  guint too_large = 0;  // transactions refused for their size
  guint too_many = 0;   // transactions refused for their rate

private:
  struct Row {
    Json value;
    guint64 revision;
  };
  struct Change {
    std::string key;
    Json value; // empty: deleted
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
  double write_allowance_ = 0; // changes that may come at once, as of allowance_at_
  Time allowance_at_ = 0;
};

// An answer of the store whose body is owned.
struct StoreAnswer {
  StoreAnswer (Store::RawAnswer raw) : status (raw.first), body (adopt (raw.second)) {}
  guint status;
  Json body;
};

} // namespace sim
