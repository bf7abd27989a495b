// A small world on loopback for the cases of the second review: key-value store, cloud, workers and users as the
// protocol describes them, real controller processes, and a check of the rules. One thread, one main loop.
#pragma once
#include <gio/gio.h>
#include <jansson.h>
#include <signal.h>
#include <stdarg.h>
#include <sys/prctl.h>
#include <unistd.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "net/http.h"
}

namespace review {

inline double
now_s ()
{
  static gint64 start = g_get_monotonic_time ();
  return (double) (g_get_monotonic_time () - start) / 1e6;
}

// ---- the record ----

inline FILE *&
record_file ()
{
  static FILE *file = nullptr;
  return file;
}

G_GNUC_PRINTF (1, 2)
inline void
record (const char *format, ...)
{
  if (record_file () == nullptr)
    return;
  va_list args;
  va_start (args, format);
  fprintf (record_file (), "%8.2f ", now_s ());
  vfprintf (record_file (), format, args);
  fputc ('\n', record_file ());
  fflush (record_file ());
  va_end (args);
}

inline std::vector<std::string> &
violations ()
{
  static std::vector<std::string> all;
  return all;
}

inline void
violated (const std::string &rule, const std::string &text)
{
  violations ().push_back (rule + ": " + text);
  record ("RULE BROKEN %s: %s", rule.c_str (), text.c_str ());
}

// ---- small helpers ----

inline std::string
text (const json_t *map, const char *name)
{
  const char *value = json_string_value (json_object_get (map, name));
  return value != nullptr ? value : "";
}

inline double
number (const json_t *map, const char *name)
{
  return json_number_value (json_object_get (map, name));
}

inline json_int_t
whole (const json_t *map, const char *name)
{
  return json_integer_value (json_object_get (map, name));
}

// A loopback host that only this process uses, so that cases may run side by side.
inline std::string
own_host ()
{
  auto pid = (guint) getpid ();
  return "127." + std::to_string (1 + (pid >> 16) % 254) + "." + std::to_string ((pid >> 8) & 255) + "."
         + std::to_string (pid & 255);
}

inline std::string
free_address ()
{
  static std::set<std::string> used;
  for (;;) {
    g_autoptr (GSocket) socket
        = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, nullptr);
    g_autoptr (GSocketAddress) any = g_inet_socket_address_new_from_string (own_host ().c_str (), 0);
    g_socket_bind (socket, any, TRUE, nullptr);
    g_autoptr (GSocketAddress) bound = g_socket_get_local_address (socket, nullptr);
    std::string address
        = own_host () + ":" + std::to_string (g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (bound)));
    if (used.insert (address).second)
      return address;
  }
}

struct Later {
  std::function<void ()> run;
  static gboolean
  fire (gpointer data)
  {
    std::unique_ptr<Later> self ((Later *) data);
    self->run ();
    return G_SOURCE_REMOVE;
  }
};

inline void
after (double seconds, std::function<void ()> run)
{
  g_timeout_add ((guint) (seconds * 1000), Later::fire, new Later{ run });
}

inline void
run_for (double seconds, std::function<bool ()> until = nullptr)
{
  double end = now_s () + seconds;
  while (now_s () < end && !(until && until ())) {
    if (!g_main_context_iteration (nullptr, FALSE))
      g_usleep (500);
  }
}

struct Reply {
  guint status;
  const json_t *body;
};
using OnReply = std::function<void (Reply)>;

inline FtHttpClient *
client ()
{
  static FtHttpClient *shared = ft_http_client_new (2000, 6000);
  return shared;
}

// Sends a request. `no_resend`: a connection of its own. Status 0: no answer.
inline void
send (const char *method, const std::string &addr, const std::string &path, json_t *body, double timeout_s,
      OnReply done, FtBodyKind kind = FT_BODY_CBOR)
{
  ft_http_send (
      client (), method, addr.c_str (), path.c_str (), kind, body, timeout_s, TRUE,
      [] (guint status, const json_t *answer, gpointer data) {
        std::unique_ptr<OnReply> callback ((OnReply *) data);
        (*callback) ({ status, answer });
      },
      new OnReply (done));
  json_decref (body);
}

// Sends a request and runs the main loop until it is answered. The body of the answer is owned by the caller.
struct Answer {
  guint status = 0;
  json_t *body = nullptr;
  ~Answer () { json_decref (body); }
};
inline std::unique_ptr<Answer>
call (const char *method, const std::string &addr, const std::string &path, json_t *body = nullptr,
      double timeout_s = 5, FtBodyKind kind = FT_BODY_CBOR)
{
  auto answer = std::make_unique<Answer> ();
  bool done = false;
  send (
      method, addr, path, body, timeout_s,
      [&] (Reply reply) {
        answer->status = reply.status;
        answer->body = json_incref ((json_t *) reply.body);
        done = true;
      },
      kind);
  run_for (timeout_s + 5, [&] { return done; });
  return answer;
}

// A server whose handler gets each request; `answer` of the handler may come later.
struct Server {
  using Handler = std::function<void (FtHttpRequest *)>;
  std::string addr = free_address ();
  Handler handler;
  FtHttpServer *http;
  explicit Server (Handler handler_, guint limit = 2000) : handler (handler_)
  {
    GError *error = nullptr;
    http = ft_http_server_new (
        addr.c_str (), FT_BODY_CBOR, limit,
        [] (FtHttpRequest *request, gpointer data) { ((Server *) data)->handler (request); }, this, &error);
    if (http == nullptr)
      exit (2);
  }
  Server (const Server &) = delete;
};

inline std::string
query (FtHttpRequest *request, const char *name)
{
  g_autoptr (GHashTable) all = g_uri_parse_params (ft_http_query (request), -1, "&", G_URI_PARAMS_NONE, nullptr);
  auto value = all != nullptr ? (const char *) g_hash_table_lookup (all, name) : nullptr;
  return value != nullptr ? value : "";
}

// Forwards connections to another address, or refuses them.
class Proxy {
public:
  std::string addr = free_address ();
  explicit Proxy (std::string target) : target_ (target) { listen (); }
  // Resets the open connections and refuses new ones.
  void
  refuse ()
  {
    g_socket_service_stop (service_);
    g_socket_listener_close (G_SOCKET_LISTENER (service_));
    g_clear_object (&service_);
    for (GIOStream *stream : open_)
      shut (stream);
    open_.clear ();
  }
  void
  listen ()
  {
    service_ = g_socket_service_new ();
    std::string host = addr.substr (0, addr.find (':'));
    g_autoptr (GSocketAddress) address = g_inet_socket_address_new_from_string (
        host.c_str (), (guint) atoi (addr.c_str () + addr.find (':') + 1));
    if (!g_socket_listener_add_address (G_SOCKET_LISTENER (service_), address, G_SOCKET_TYPE_STREAM,
                                        G_SOCKET_PROTOCOL_TCP, nullptr, nullptr, nullptr))
      exit (2);
    g_signal_connect (service_, "incoming", G_CALLBACK (on_incoming), this);
  }

private:
  std::string target_;
  GSocketService *service_ = nullptr;
  std::vector<GIOStream *> open_;
  static void
  shut (GIOStream *stream)
  {
    g_socket_shutdown (g_socket_connection_get_socket (G_SOCKET_CONNECTION (stream)), TRUE, TRUE, nullptr);
  }
  static gboolean
  on_incoming (GSocketService *, GSocketConnection *from, GObject *, gpointer data)
  {
    auto self = (Proxy *) data;
    g_autoptr (GSocketClient) connector = g_socket_client_new ();
    g_autoptr (GSocketConnection) to
        = g_socket_client_connect_to_host (connector, self->target_.c_str (), 0, nullptr, nullptr);
    if (to == nullptr)
      return TRUE;
    self->open_.push_back ((GIOStream *) g_object_ref (from));
    self->open_.push_back ((GIOStream *) g_object_ref (to));
    pump (G_IO_STREAM (from), G_IO_STREAM (to));
    pump (G_IO_STREAM (to), G_IO_STREAM (from));
    return TRUE;
  }
  struct Ends {
    GIOStream *from, *to;
  };
  static void
  pump (GIOStream *from, GIOStream *to)
  {
    auto ends = new Ends{ (GIOStream *) g_object_ref (from), (GIOStream *) g_object_ref (to) };
    g_output_stream_splice_async (
        g_io_stream_get_output_stream (to), g_io_stream_get_input_stream (from), G_OUTPUT_STREAM_SPLICE_NONE,
        G_PRIORITY_DEFAULT, nullptr,
        [] (GObject *source, GAsyncResult *result, gpointer ended) {
          std::unique_ptr<Ends> pair ((Ends *) ended);
          g_output_stream_splice_finish (G_OUTPUT_STREAM (source), result, nullptr);
          shut (pair->from);
          shut (pair->to);
          g_object_unref (pair->from);
          g_object_unref (pair->to);
        },
        ends);
  }
};

// ---- settings ----

struct Team {
  std::string name;
  double cpus, cpus_max;
};

struct Site {
  int size = 3;
  std::vector<std::string> zones = { "a" };
  std::vector<std::string> node_zones = { "a", "a", "a" };
  std::vector<Team> teams = { { "red", 24, 80 }, { "blue", 24, 80 } };
  double report_s = 2.5, lease_s = 14, cancel_s = 34;
  double rps = 100, write_rps = 40, value_kb = 16;
  int txn_ops = 12;
  double cloud_rps = 3, list_lag_s = 5;
  double ram_mb = 104;
  bool peer_proxies = false; // controllers reach each other through proxies
  int fd_limit = 1800;
  double cores = 16, mem_gb = 64, ready_s = 50;
};

// ---- the key-value store ----

// How a service treats the requests of one controller.
enum class Link { Up, Refuse, Hold };

class Store {
public:
  explicit Store (const Site &site) : site_ (site)
  {
    for (int i = 0; i < site.size; i++) {
      links.push_back (Link::Up);
      servers_.push_back (std::make_unique<Server> ([this, i] (FtHttpRequest *request) { handle (i, request); }));
    }
  }
  std::string
  addr (int i) const
  {
    return servers_[(size_t) i]->addr;
  }
  std::vector<Link> links; // of each controller
  double delay_s = 0.002;  // of each answer
  bool down = false;
  // A request that is held because of a cut is executed when the cut ends.
  void
  heal (int i)
  {
    links[(size_t) i] = Link::Up;
    std::deque<std::function<void ()>> held;
    held.swap (held_[i]);
    for (auto &run : held)
      run ();
  }
  const json_t *
  value (const std::string &key) const
  {
    auto row = rows_.find (key);
    return row == rows_.end () ? nullptr : row->second.value;
  }
  std::function<void (int, const json_t *)> on_commit; // after a transaction was applied

private:
  struct Row {
    json_t *value;
    guint64 stamp;
  };
  struct Event {
    std::string key;
    json_t *value;
    guint64 stamp;
  };
  const Site &site_;
  std::vector<std::unique_ptr<Server>> servers_;
  std::map<int, std::deque<std::function<void ()>>> held_;
  std::map<std::string, Row> rows_;
  std::deque<Event> log_;
  guint64 ledger_ = 0;
  double requests_ = 0, writes_ = 0, refilled_at_ = 0;

  bool
  take (double requests, double writes)
  {
    double now = now_s (), passed = now - refilled_at_;
    requests_ = std::min (site_.rps, requests_ + passed * site_.rps);
    writes_ = std::min (site_.write_rps, writes_ + passed * site_.write_rps);
    refilled_at_ = now;
    if (requests_ < requests || writes_ < writes)
      return false;
    requests_ -= requests;
    writes_ -= writes;
    return true;
  }
  static void
  answer (FtHttpRequest *request, guint status, json_t *body, double delay)
  {
    after (delay, [=] { ft_http_respond (request, status, body); });
  }
  void
  handle (int i, FtHttpRequest *request)
  {
    if (down || links[(size_t) i] == Link::Refuse) {
      answer (request, 503, nullptr, 0);
      return;
    }
    if (links[(size_t) i] == Link::Hold) {
      held_[i].push_back ([this, i, request] { execute (i, request); });
      return;
    }
    execute (i, request);
  }
  void
  execute (int i, FtHttpRequest *request)
  {
    std::string path = ft_http_path (request), method = ft_http_method (request);
    const json_t *body = ft_http_body (request);
    double writes = path == "/commit" ? (double) json_array_size (json_object_get (body, "apply")) : 0;
    if (!take (1, writes)) {
      answer (request, 429, nullptr, delay_s);
      return;
    }
    if (path == "/commit")
      commit (i, request, body);
    else if (path == "/store")
      list (request);
    else if (path == "/follow")
      follow (i, request, query (request, "under"), g_ascii_strtoull (query (request, "since").c_str (), nullptr, 10),
              now_s () + (double) g_ascii_strtoll (query (request, "block_ms").c_str (), nullptr, 10) / 1000);
    else if (path.rfind ("/store/", 0) == 0)
      get (request, path.substr (7));
    else
      answer (request, 400, nullptr, 0);
  }
  json_t *
  pair (const std::string &key, const Row &row) const
  {
    return json_pack ("{s:s, s:O, s:I}", "key", key.c_str (), "data", row.value, "stamp", (json_int_t) row.stamp);
  }
  void
  get (FtHttpRequest *request, const std::string &key)
  {
    auto row = rows_.find (key);
    if (row == rows_.end ())
      answer (request, 404, json_pack ("{s:I}", "ledger", (json_int_t) ledger_), delay_s);
    else
      answer (request, 200, pair (key, row->second), delay_s);
  }
  void
  list (FtHttpRequest *request)
  {
    std::string under = query (request, "under"), since = query (request, "since"), limit = query (request, "limit");
    size_t most = limit.empty () ? 1000 : std::min<size_t> (1000, (size_t) atoi (limit.c_str ()));
    json_t *pairs = json_array ();
    auto row = since.empty () ? rows_.lower_bound (under) : rows_.upper_bound (since);
    for (; row != rows_.end () && row->first.rfind (under, 0) == 0 && json_array_size (pairs) < most; ++row)
      json_array_append_new (pairs, pair (row->first, row->second));
    bool more = row != rows_.end () && row->first.rfind (under, 0) == 0;
    answer (request, 200,
            json_pack ("{s:o, s:b, s:I}", "pairs", pairs, "more", (int) more, "ledger", (json_int_t) ledger_), delay_s);
  }
  void
  commit (int i, FtHttpRequest *request, const json_t *txn)
  {
    size_t k;
    json_t *item;
    const json_t *conditions = json_object_get (txn, "if"), *changes = json_object_get (txn, "apply");
    bool valid = json_is_object (txn) && json_array_size (changes) <= (size_t) site_.txn_ops
                 && json_array_size (conditions) <= 4 * (size_t) site_.txn_ops
                 && json_dumpb (txn, nullptr, 0, JSON_COMPACT) <= 65536;
    json_array_foreach (changes, k, item)
    {
      const json_t *data = json_object_get (item, "data");
      valid &= data == nullptr || (double) json_dumpb (data, nullptr, 0, JSON_COMPACT) <= site_.value_kb * 1024;
    }
    if (!valid) {
      record ("store: transaction of controller %d is malformed or too large", i);
      answer (request, 400, nullptr, delay_s);
      return;
    }
    json_t *failed = json_array ();
    json_array_foreach (conditions, k, item)
    {
      auto row = rows_.find (text (item, "key"));
      guint64 stamp = row == rows_.end () ? 0 : row->second.stamp;
      if (stamp != (guint64) whole (item, "stamp"))
        json_array_append_new (failed, json_string (text (item, "key").c_str ()));
    }
    if (json_array_size (failed) > 0) {
      answer (request, 409, json_pack ("{s:o, s:I}", "failed", failed, "ledger", (json_int_t) ledger_), delay_s);
      return;
    }
    json_decref (failed);
    if (json_array_size (changes) > 0)
      ledger_++;
    json_array_foreach (changes, k, item)
    {
      std::string written = text (item, "write"), key = written.empty () ? text (item, "delete") : written;
      auto row = rows_.find (key);
      if (written.empty () && row == rows_.end ())
        continue;
      json_t *value = written.empty () ? nullptr : json_deep_copy (json_object_get (item, "data"));
      if (row != rows_.end ()) {
        json_decref (row->second.value);
        rows_.erase (row);
      }
      if (value != nullptr)
        rows_[key] = { value, ledger_ };
      log_.push_back ({ key, json_incref (value), ledger_ });
    }
    while (log_.size () > 10000) {
      json_decref (log_.front ().value);
      log_.pop_front ();
    }
    if (on_commit)
      on_commit (i, txn);
    answer (request, 200, json_pack ("{s:I}", "ledger", (json_int_t) ledger_), delay_s);
  }
  void
  follow (int i, FtHttpRequest *request, std::string under, guint64 since, double end)
  {
    bool cut = down || links[(size_t) i] != Link::Up;
    json_t *events = json_array ();
    for (const Event &event : log_) {
      if (cut || event.stamp <= since || event.key.rfind (under, 0) != 0)
        continue;
      json_t *item = json_pack ("{s:s, s:I}", event.value ? "write" : "delete", event.key.c_str (), "stamp",
                                (json_int_t) event.stamp);
      if (event.value != nullptr)
        json_object_set (item, "data", event.value);
      json_array_append_new (events, item);
    }
    if (!cut && (json_array_size (events) > 0 || now_s () >= end)) {
      answer (request, 200, json_pack ("{s:o, s:I}", "events", events, "ledger", (json_int_t) ledger_), delay_s);
      return;
    }
    json_decref (events);
    after (0.02, [=] { follow (i, request, under, since, end); });
  }
};

// ---- rules ----

struct JobSpec {
  std::string ref, team = "red", urgency = "normal";
  int pieces = 1;
  double cores = 4, mem_gb = 4;
  bool loaners = true, one_zone = false, apart = false;
  double run_s = 5;        // true run time of each task
  double guess_s = 5;
  double bookmark_s = 0, shelve_s = 0;
  std::string yard;        // empty: any
  std::vector<std::string> awaits;
  bool faulty = false;     // each task fails
};

struct JobTruth {
  JobSpec spec;
  bool accepted = false, told_done = false, told_withdrawn = false, asked_withdraw = false;
  double withdrawn_at = 0, accepted_at = 0, done_at = 0;
  std::set<int> done; // tasks whose result exists
};

// What runs where, and the check of the rules at each change.
class Rules {
public:
  struct Running {
    std::string machine, zone;
  };
  std::map<std::string, JobTruth> jobs;
  std::map<std::string, std::vector<Running>> on; // task -> where it is now
  std::map<std::string, double> use;              // team -> CPUs
  const Site *site = nullptr;
  guint starts = 0;

  JobTruth *
  job_of (const std::string &task)
  {
    auto it = jobs.find (task.substr (0, task.find ('/')));
    return it == jobs.end () ? nullptr : &it->second;
  }
  void
  begins (const std::string &task, const std::string &machine, const std::string &zone, bool spot)
  {
    JobTruth *job = job_of (task);
    starts++;
    if (job == nullptr) {
      violated ("invented", "task " + task + " of no submitted job starts on " + machine);
      return;
    }
    std::vector<Running> &where = on[task];
    if (!where.empty ())
      violated ("ran_twice", "task " + task + " starts on " + machine + " while it is on " + where[0].machine);
    where.push_back ({ machine, zone });
    double &used = use[job->spec.team];
    used += job->spec.cores;
    for (const Team &team : site->teams)
      if (team.name == job->spec.team && used > team.cpus_max + 1e-6)
        violated ("quota", "team " + team.name + " uses " + std::to_string (used) + " CPUs");
    if ((spot && !job->spec.loaners) || (!job->spec.yard.empty () && job->spec.yard != zone))
      violated ("wrong_place", "task " + task + " starts on " + machine);
    if (job->spec.one_zone || job->spec.apart) {
      int here = 0, elsewhere = 0;
      for (int i = 0; i < job->spec.pieces; i++)
        for (const Running &running : on[job->spec.ref + "/" + std::to_string (i)])
          (running.zone == zone ? here : elsewhere)++;
      if (job->spec.one_zone && elsewhere > 0)
        violated ("wrong_place", "task " + task + " starts in zone " + zone + ", others are elsewhere");
      if (job->spec.apart && here > (job->spec.pieces + 1) / 2)
        violated ("wrong_place", "task " + task + ": too many in zone " + zone);
    }
    if (job->told_withdrawn && now_s () - job->withdrawn_at > site->cancel_s)
      violated ("ran_cancelled", "task " + task + " starts " + std::to_string (now_s () - job->withdrawn_at)
                                     + " s after its user was told that the job is withdrawn");
    for (const std::string &need : job->spec.awaits)
      if ((int) jobs[need].done.size () < jobs[need].spec.pieces)
        violated ("too_early", "task " + task + " starts before " + need + " is done");
  }
  void
  ends (const std::string &task, const std::string &machine)
  {
    JobTruth *job = job_of (task);
    std::vector<Running> &where = on[task];
    for (size_t i = 0; i < where.size (); i++)
      if (where[i].machine == machine) {
        where.erase (where.begin () + (long) i);
        if (job != nullptr)
          use[job->spec.team] -= job->spec.cores;
        return;
      }
  }
  // What is on a machine for too long after a withdrawal. Call now and then.
  void
  sweep ()
  {
    for (auto &[ref, job] : jobs) {
      if (!job.told_withdrawn || now_s () - job.withdrawn_at <= site->cancel_s + 0.2)
        continue;
      for (int i = 0; i < job.spec.pieces; i++) {
        std::string task = ref + "/" + std::to_string (i);
        if (!on[task].empty () && reported_.insert (task).second)
          violated ("ran_cancelled", "task " + task + " is on " + on[task][0].machine + " "
                                         + std::to_string (now_s () - job.withdrawn_at) + " s after the withdrawal");
      }
    }
  }
  bool
  ancestor_withdrawn (const std::string &ref, double before)
  {
    for (const std::string &need : jobs[ref].spec.awaits)
      if ((jobs[need].told_withdrawn && jobs[need].withdrawn_at < before) || ancestor_withdrawn (need, before))
        return true;
    return false;
  }
  // A user gets an answer about a job; the request was sent at `sent`.
  void
  told (const std::string &ref, guint status, const std::string &standing, bool submission, double sent, int node)
  {
    auto it = jobs.find (ref);
    if (status == 200 || status == 201) {
      if (it == jobs.end ()) {
        violated ("invented", ref + " is answered with " + standing);
        return;
      }
      JobTruth &job = it->second;
      std::string by = " by controller " + std::to_string (node);
      if (!job.accepted)
        job.accepted_at = now_s ();
      job.accepted = true;
      if (standing == "done") {
        if ((int) job.done.size () < job.spec.pieces)
          violated ("not_done", ref + " is called done" + by);
        if (job.told_withdrawn)
          violated ("went_back", ref + " was withdrawn and is called done" + by);
        job.told_done = true;
      } else if (standing == "withdrawn") {
        if (job.told_done)
          violated ("went_back", ref + " was done and is called withdrawn" + by);
        if (!job.asked_withdraw && !ancestor_withdrawn (ref, 1e9))
          violated ("went_back", ref + " is called withdrawn, its user did not ask" + by);
        if (!job.told_withdrawn)
          job.withdrawn_at = now_s ();
        job.told_withdrawn = true;
      } else {
        if (job.told_done && job.done_at > 0 && job.done_at < sent)
          violated ("went_back", ref + " was done and is called " + standing + by);
        if (job.told_withdrawn && job.withdrawn_at < sent)
          violated ("went_back", ref + " was withdrawn and is called " + standing + by);
        if (ancestor_withdrawn (ref, sent - site->cancel_s))
          violated ("orphaned", ref + " is called " + standing + by);
      }
      if (job.told_done && job.done_at == 0)
        job.done_at = now_s ();
    } else if (it != jobs.end () && it->second.accepted && it->second.accepted_at < sent) {
      if (status == 404)
        violated ("forgotten", ref + " was accepted and gets 404 from controller " + std::to_string (node));
      if (submission && (status == 400 || status == 422))
        violated ("forgotten", "the repeated submission of " + ref + " gets " + std::to_string (status));
    }
  }

private:
  std::set<std::string> reported_;
};

// ---- workers ----

class Cloud;

// A worker as in the protocol. `cut`: no message passes, in either direction; what arrives is held.
class Worker {
public:
  struct Task {
    std::string name;
    json_int_t attempt;
    std::string state, cause;
    double left;       // seconds that the task still runs
    double fetch_left; // seconds until its image is there
    double save_left = 0;
    bool on = false; // it is on the machine as the rules count
  };
  std::string name, zone;
  bool spot;
  std::vector<Task> tasks;
  bool hung = false, cut = false, dead = false, sick = false;
  std::function<void (const json_t *)> on_orders; // direct commands that are executed
  std::function<void (const json_t *)> on_answered_orders;
  double recall_at = 0;
  guint64 token = 0, tally = 0, shift = 1;
  // The controller from which this worker is cut off, -1: none. Its commands are known by their token.
  int lost_node = -1;
  guint64 lost_token = 0;

  Worker (const Site &site, Rules &rules, std::vector<std::string> nodes, std::string name_, std::string zone_,
          bool spot_)
      : name (name_), zone (zone_), spot (spot_), site_ (site), rules_ (rules), nodes_ (nodes),
        server_ ([this] (FtHttpRequest *request) { receive (request); }, 200)
  {
    session_since_ = last_answered_sent_ = last_tick_ = now_s ();
    node_ = (size_t) g_random_int_range (0, (gint32) nodes_.size ());
    due_ = now_s () + 0.1;
    timer_ = g_timeout_add (50, on_tick, this);
  }
  std::string
  addr () const
  {
    return server_.addr;
  }
  void
  die ()
  {
    if (dead)
      return;
    dead = true;
    for (Task &task : tasks)
      off (task);
    tasks.clear ();
    record ("machine %s: gone", name.c_str ());
  }
  void
  hang (bool hangs)
  {
    hung = hangs;
    record ("machine %s: %s", name.c_str (), hangs ? "hangs" : "goes on");
    if (!hangs) {
      last_tick_ = now_s (); // its tasks did not run
      deliver_held ();
    }
  }
  void
  set_cut (bool is_cut)
  {
    cut = is_cut;
    record ("machine %s: %s", name.c_str (), is_cut ? "is cut off" : "is reachable");
    if (!is_cut)
      deliver_held ();
  }
  json_t *
  report ()
  {
    json_t *list = json_array ();
    for (const Task &task : tasks) {
      json_t *item = json_pack ("{s:s, s:I, s:s}", "piece", task.name.c_str (), "try", task.attempt, "standing",
                                task.state.c_str ());
      if (!task.cause.empty ())
        json_object_set_new (item, "cause", json_string (task.cause.c_str ()));
      json_array_append_new (list, item);
    }
    json_t *recall = recall_at > 0 ? json_real (std::max (0.0, recall_at - now_s ())) : json_null ();
    return json_pack ("{s:s,s:s,s:s,s:s,s:b,s:I,s:I,s:I,s:o,s:o}", "hearth", name.c_str (), "address",
                      server_.addr.c_str (), "build", "std", "yard", zone.c_str (), "loaners", (int) spot, "shift",
                      (json_int_t) shift, "tally", (json_int_t) ++tally, "baton", (json_int_t) token, "recall_s", recall,
                      "pieces", list);
  }
  void
  execute (const json_t *orders, const char *how)
  {
    size_t i;
    json_t *order;
    json_array_foreach (orders, i, order)
    {
      std::string verb = text (order, "verb"), piece = text (order, "piece");
      json_int_t attempt = whole (order, "try");
      auto it = std::find_if (tasks.begin (), tasks.end (),
                              [&] (const Task &task) { return task.name == piece && task.attempt == attempt; });
      record ("machine %s: %s %s try %lld (%s)%s", name.c_str (), verb.c_str (), piece.c_str (), (long long) attempt,
              how, verb == "start" && it != tasks.end () ? ", known already" : "");
      if (verb == "start" && it == tasks.end ())
        start (piece, attempt);
      else if (verb == "stop" && it != tasks.end ())
        stop (*it, number (order, "leeway_s"));
      else if (verb == "clear" && it != tasks.end () && it->state == "exited")
        tasks.erase (it);
      changed_ = true;
    }
  }
  // Handles a message to /commands, as it was received or a copy of it.
  bool
  command (const json_t *body, const char *how)
  {
    auto baton = (guint64) whole (body, "baton");
    bool ok = baton >= token && (guint64) whole (body, "shift") == shift;
    if (ok) {
      if (baton > token)
        changed_ = true;
      token = baton;
      execute (json_object_get (body, "orders"), how);
    }
    return ok;
  }
  bool
  runs (const std::string &piece) const
  {
    return std::any_of (tasks.begin (), tasks.end (),
                        [&] (const Task &task) { return task.name == piece && task.state != "exited"; });
  }

private:
  const Site &site_;
  Rules &rules_;
  std::vector<std::string> nodes_;
  Server server_;
  size_t node_ = 0;
  double due_ = 0, last_sent_ = 0, session_since_, last_answered_sent_, last_tick_;
  bool in_flight_ = false, changed_ = false;
  guint64 report_number_ = 0;
  std::set<std::string> images_;
  std::deque<std::function<void ()>> held_;
  guint timer_;

  void
  off (Task &task)
  {
    if (task.on)
      rules_.ends (task.name, name);
    task.on = false;
  }
  void
  exit_task (Task &task, const char *cause)
  {
    off (task);
    task.state = "exited";
    task.cause = cause;
    changed_ = true;
    record ("machine %s: %s try %lld exited: %s", name.c_str (), task.name.c_str (), (long long) task.attempt, cause);
  }
  void
  start (const std::string &piece, json_int_t attempt)
  {
    JobTruth *job = rules_.job_of (piece);
    double cores = job != nullptr ? job->spec.cores : 0, memory = job != nullptr ? job->spec.mem_gb : 0;
    bool busy = false;
    for (const Task &task : tasks) {
      if (task.state == "exited")
        continue;
      const JobTruth *other = rules_.job_of (task.name);
      busy |= task.name == piece;
      cores += other != nullptr ? other->spec.cores : 0;
      memory += other != nullptr ? other->spec.mem_gb : 0;
    }
    Task task = { piece, attempt, "fetching", "", job != nullptr ? job->spec.run_s : 0, 0.3 };
    if (images_.count (piece.substr (0, 5)) > 0)
      task.fetch_left = 0;
    tasks.push_back (task);
    if (job == nullptr)
      exit_task (tasks.back (), "no_such");
    else if (busy)
      exit_task (tasks.back (), "in_use");
    else if (cores > site_.cores + 1e-6 || memory > site_.mem_gb + 1e-6)
      exit_task (tasks.back (), "no_room");
  }
  void
  stop (Task &task, double leeway)
  {
    JobTruth *job = rules_.job_of (task.name);
    if (task.state == "exited")
      return;
    if (task.state == "running" && job != nullptr && job->spec.bookmark_s > 0 && leeway >= job->spec.shelve_s) {
      task.state = "flushing";
      task.save_left = job->spec.shelve_s;
      changed_ = true;
      return;
    }
    if (task.state == "flushing" && leeway > 0)
      return;
    exit_task (task, "halted");
  }
  void
  work (double passed)
  {
    for (Task &task : tasks) {
      JobTruth *job = rules_.job_of (task.name);
      if (job == nullptr || task.state == "exited")
        continue;
      int index = atoi (task.name.c_str () + task.name.find ('/') + 1);
      if (task.state == "fetching") {
        task.fetch_left -= passed;
        if (task.fetch_left > 0)
          continue;
        images_.insert (task.name.substr (0, 5));
        task.state = "running";
        task.on = true;
        changed_ = true;
        record ("machine %s: %s try %lld begins to run", name.c_str (), task.name.c_str (), (long long) task.attempt);
        rules_.begins (task.name, name, zone, spot);
        if (job->done.count (index) > 0)
          exit_task (task, "done");
        else if (sick || job->spec.faulty)
          task.left = 0.4;
      } else if (task.state == "flushing") {
        task.save_left -= passed;
        if (task.save_left <= 0)
          exit_task (task, "halted");
      } else {
        task.left -= passed;
        if (task.left > 0)
          continue;
        if (sick || job->spec.faulty) {
          exit_task (task, "error");
        } else {
          job->done.insert (index);
          exit_task (task, "done");
        }
      }
    }
  }
  void
  check_lease ()
  {
    if (now_s () - last_answered_sent_ <= site_.lease_s)
      return;
    for (Task &task : tasks)
      off (task);
    record ("machine %s: lease over, %zu tasks dropped", name.c_str (), tasks.size ());
    tasks.clear ();
    shift++;
    last_answered_sent_ = session_since_ = now_s ();
    changed_ = true;
  }
  void
  receive (FtHttpRequest *request)
  {
    bool from_lost = lost_node >= 0 && (guint64) whole (ft_http_body (request), "baton") == lost_token;
    if (hung || cut || dead || from_lost) {
      if (!dead)
        held_.push_back ([this, request] { receive (request); });
      return;
    }
    if (g_strcmp0 (ft_http_path (request), "/show") == 0) {
      ft_http_respond (request, 200, report ());
      return;
    }
    check_lease ();
    const json_t *body = ft_http_body (request);
    bool ok = command (body, "direct");
    if (ok && on_orders)
      on_orders (body);
    ft_http_respond (request, ok ? 200 : 409, report ());
  }
  void
  deliver_held ()
  {
    check_lease ();
    std::deque<std::function<void ()>> held;
    held.swap (held_);
    for (auto &run : held)
      run ();
  }
  void
  next_node (double pause)
  {
    node_ = (node_ + 1) % nodes_.size ();
    due_ = now_s () + pause;
  }
  void
  on_report_answer (guint64 number, double sent, guint64 sent_shift, Reply reply)
  {
    if (dead || number != report_number_)
      return;
    in_flight_ = false;
    if (hung || cut || now_s () - sent > 4) {
      next_node (1);
      return;
    }
    if (reply.status == 421) {
      std::string other = text (reply.body, "answers_to");
      size_t next = nodes_.size ();
      for (size_t i = 0; i < nodes_.size (); i++)
        if (other == "hearth-" + std::to_string (i))
          next = i;
      if (next == nodes_.size () || next == node_) {
        next_node (1);
      } else {
        node_ = next;
        due_ = now_s () + g_random_double_range (0, 0.5);
      }
      return;
    }
    if (reply.status != 200) {
      next_node (1);
      return;
    }
    auto baton = (guint64) whole (reply.body, "baton");
    if (baton < token || sent_shift != shift)
      return;
    if (baton > token && now_s () - token_change_ > site_.lease_s / 2) {
      token_change_ = now_s ();
      changed_ = true;
    }
    token = baton;
    last_answered_sent_ = sent;
    execute (json_object_get (reply.body, "orders"), "answer");
  }
  double token_change_ = -1000;
  void
  send_report ()
  {
    guint64 number = ++report_number_, sent_shift = shift;
    double sent = now_s ();
    in_flight_ = true;
    changed_ = false;
    last_sent_ = sent;
    due_ = sent + site_.report_s * g_random_double_range (0.75, 1.25);
    if ((int) node_ == lost_node) { // no answer within 4 s
      after (4, [this, number, sent, sent_shift] { on_report_answer (number, sent, sent_shift, { 0, nullptr }); });
      return;
    }
    send ("POST", nodes_[node_], "/checkin", report (), 4,
          [this, number, sent, sent_shift] (Reply reply) { on_report_answer (number, sent, sent_shift, reply); });
  }
  static gboolean
  on_tick (gpointer data)
  {
    auto self = (Worker *) data;
    if (self->dead)
      return G_SOURCE_REMOVE;
    if (self->hung)
      return G_SOURCE_CONTINUE;
    double now = now_s (), passed = now - self->last_tick_;
    self->last_tick_ = now;
    self->check_lease ();
    self->work (passed);
    if (self->cut || self->in_flight_)
      return G_SOURCE_CONTINUE;
    if (now >= self->due_ || (self->changed_ && now - self->last_sent_ >= 0.5))
      self->send_report ();
    return G_SOURCE_CONTINUE;
  }
};

// ---- the cloud ----

class Cloud {
public:
  std::vector<std::string> nodes; // the controllers' addresses for workers
  std::map<std::string, std::shared_ptr<Worker>> machines;
  std::map<std::string, int> capacity; // zone + ("/spot" or "") -> machines
  bool down = false;
  std::function<void (int, const std::string &)> on_return; // before a controller returns a machine
  Cloud (const Site &site, Rules &rules) : site_ (site), rules_ (rules)
  {
    for (int i = 0; i < site.size; i++)
      servers_.push_back (std::make_unique<Server> ([this, i] (FtHttpRequest *request) { handle (i, request); }));
  }
  std::string
  addr (int i) const
  {
    return servers_[(size_t) i]->addr;
  }
  std::shared_ptr<Worker>
  add (const std::string &zone, bool spot, double boot_s)
  {
    char name[16];
    g_snprintf (name, sizeof name, "n-%06d", next_++);
    entries_[name] = { zone, spot, now_s (), now_s () + boot_s, 0, 0 };
    if (boot_s <= 0)
      up (name);
    else
      after (boot_s, [this, n = std::string (name)] { up (n); });
    return machines[name];
  }
  // The machine stops by itself.
  void
  fail (const std::string &name)
  {
    if (entries_.count (name) == 0)
      return;
    if (machines[name])
      machines[name]->die ();
    entries_[name].failed_at = now_s ();
  }
  // The cloud takes the machine.
  void
  take (const std::string &name)
  {
    if (entries_.count (name) == 0)
      return;
    if (machines[name])
      machines[name]->die ();
    gone (name);
  }
  std::vector<std::shared_ptr<Worker>>
  alive () const
  {
    std::vector<std::shared_ptr<Worker>> all;
    for (auto &[name, machine] : machines)
      if (machine && !machine->dead)
        all.push_back (machine);
    return all;
  }

private:
  struct Entry {
    std::string zone;
    bool spot;
    double rented_at, up_at, failed_at, gone_at;
  };
  const Site &site_;
  Rules &rules_;
  std::vector<std::unique_ptr<Server>> servers_;
  std::map<std::string, Entry> entries_;
  std::map<std::string, json_t *> bookings_;
  int next_ = 1;

  void
  gone (const std::string &name)
  {
    entries_[name].gone_at = now_s ();
  }
  void
  up (const std::string &name)
  {
    Entry &entry = entries_[name];
    if (entry.gone_at > 0)
      return;
    machines[name] = std::make_shared<Worker> (site_, rules_, nodes, name, entry.zone, entry.spot);
    record ("machine %s: up (zone %s%s)", name.c_str (), entry.zone.c_str (), entry.spot ? ", spot" : "");
  }
  int
  count (const std::string &zone, bool spot) const
  {
    int n = 0;
    for (auto &[name, entry] : entries_)
      n += entry.zone == zone && entry.spot == spot && entry.gone_at == 0 && entry.failed_at == 0;
    return n;
  }
  void
  respond (FtHttpRequest *request, guint status, json_t *body)
  {
    after (0.1, [=] { ft_http_respond (request, status, body); });
  }
  void
  handle (int i, FtHttpRequest *request)
  {
    std::string path = ft_http_path (request), method = ft_http_method (request);
    if (down) {
      respond (request, 503, json_pack ("{s:s}", "error", "trouble"));
    } else if (path == "/catalog") {
      json_t *zones = json_array ();
      for (const std::string &zone : site_.zones)
        json_array_append_new (zones, json_string (zone.c_str ()));
      respond (request, 200,
               json_pack ("{s:[{s:s,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:o}]}", "builds", "name", "std", "cores",
                          site_.cores, "cards", 0.0, "mem_gb", site_.mem_gb, "local_gb", 70.0, "fetch_gb_per_s", 0.4,
                          "price", 0.84, "market_price", 0.31, "ready_s", site_.ready_s, "yards", zones));
    } else if (path == "/rentals" && method == "GET") {
      list (request);
    } else if (path == "/rentals") {
      rent (request);
    } else if (path == "/rentals/return") {
      size_t k;
      json_t *item;
      json_array_foreach (json_object_get (ft_http_body (request), "hearths"), k, item)
      {
        std::string name = json_string_value (item);
        record ("cloud: %s is returned by controller %d", name.c_str (), i);
        if (on_return)
          on_return (i, name);
        take (name);
      }
      respond (request, 200, json_object ());
    } else {
      respond (request, 400, nullptr);
    }
  }
  void
  rent (FtHttpRequest *request)
  {
    const json_t *body = ft_http_body (request);
    std::string booking = text (body, "booking"), zone = text (body, "yard");
    bool spot = json_is_true (json_object_get (body, "loaners"));
    if (bookings_.count (booking) > 0) {
      respond (request, 200, json_incref (bookings_[booking]));
      return;
    }
    int room = capacity[zone + (spot ? "/spot" : "")] - count (zone, spot);
    int n = std::min<int> (room, (int) whole (body, "how_many"));
    if (n <= 0) {
      respond (request, 503, json_pack ("{s:s}", "error", "no capacity"));
      return;
    }
    json_t *names = json_array ();
    for (int k = 0; k < n; k++) {
      double boot = site_.ready_s * g_random_double_range (0.6, 1.5);
      char name[16];
      g_snprintf (name, sizeof name, "n-%06d", next_);
      add (zone, spot, boot);
      json_array_append_new (names, json_string (name));
    }
    record ("cloud: booking %s: %d machines in %s%s", booking.c_str (), n, zone.c_str (), spot ? " spot" : "");
    bookings_[booking] = json_pack ("{s:o}", "hearths", names);
    respond (request, 200, json_incref (bookings_[booking]));
  }
  void
  list (FtHttpRequest *request)
  {
    std::string since = query (request, "since");
    int limit = query (request, "limit").empty () ? 500 : atoi (query (request, "limit").c_str ());
    double at = now_s () - site_.list_lag_s * g_random_double_range (0.5, 1.5);
    json_t *items = json_array ();
    bool more = false;
    for (auto &[name, entry] : entries_) {
      bool known = entry.rented_at <= at || entry.rented_at < 1;
      if (name <= since || !known || (entry.gone_at > 0 && entry.gone_at <= at))
        continue;
      if ((int) json_array_size (items) == limit) {
        more = true;
        break;
      }
      const char *standing = entry.failed_at > 0 && entry.failed_at + 30 <= at ? "failed"
                             : entry.up_at > at                               ? "starting"
                                                                              : "running";
      json_t *address = machines[name] ? json_string (machines[name]->addr ().c_str ()) : json_null ();
      json_array_append_new (items, json_pack ("{s:s,s:o,s:s,s:s,s:b,s:s,s:f}", "ref", name.c_str (), "address", address,
                                               "build", "std", "yard", entry.zone.c_str (), "loaners", (int) entry.spot,
                                               "standing", standing, "held_s", std::max (0.0, at - entry.rented_at)));
    }
    respond (request, 200, json_pack ("{s:o, s:b}", "hearths", items, "more", (int) more));
  }
};

// ---- controllers ----

class Controllers {
public:
  std::vector<std::string> front, mesh;
  std::vector<std::unique_ptr<Proxy>> proxies; // in front of each controller's address for peers, if there are any
  Controllers (const Site &site, const Store &store, const Cloud &cloud, const std::string &program,
               const std::string &folder)
      : site_ (site), program_ (program), folder_ (folder)
  {
    for (int i = 0; i < site.size; i++) {
      front.push_back (free_address ());
      mesh.push_back (free_address ());
      if (site.peer_proxies)
        proxies.push_back (std::make_unique<Proxy> (mesh.back ()));
      processes_.push_back (nullptr);
    }
    for (int i = 0; i < site.size; i++)
      write_settings (i, store, cloud);
  }
  ~Controllers ()
  {
    for (int i = 0; i < site_.size; i++)
      kill (i);
  }
  void
  start (int i)
  {
    g_autoptr (GSubprocessLauncher) launcher = g_subprocess_launcher_new (G_SUBPROCESS_FLAGS_NONE);
    g_subprocess_launcher_setenv (launcher, "LOG_LEVEL", "info", TRUE);
    g_subprocess_launcher_set_stderr_file_path (launcher,
                                                (folder_ + "/log-" + std::to_string (i) + ".txt").c_str ());
    g_subprocess_launcher_set_child_setup (
        launcher, [] (gpointer) { prctl (PR_SET_PDEATHSIG, SIGKILL); }, nullptr, nullptr);
    processes_[(size_t) i] = g_subprocess_launcher_spawn (launcher, nullptr, program_.c_str (), "--config",
                                                          file (i).c_str (), nullptr);
    if (processes_[(size_t) i] == nullptr)
      exit (2);
    record ("controller %d: started, process %s", i, g_subprocess_get_identifier (processes_[(size_t) i]));
  }
  void
  start_all ()
  {
    for (int i = 0; i < site_.size; i++)
      start (i);
  }
  void
  kill (int i)
  {
    GSubprocess *&process = processes_[(size_t) i];
    if (process == nullptr)
      return;
    g_subprocess_send_signal (process, SIGKILL);
    g_subprocess_wait (process, nullptr, nullptr);
    g_clear_object (&process);
    record ("controller %d: killed", i);
  }
  void
  signal (int i, int number)
  {
    if (processes_[(size_t) i] != nullptr)
      g_subprocess_send_signal (processes_[(size_t) i], number);
    record ("controller %d: signal %d", i, number);
  }
  bool
  runs (int i) const
  {
    return processes_[(size_t) i] != nullptr && g_subprocess_get_identifier (processes_[(size_t) i]) != nullptr;
  }
  // The memory that the controller's process holds, in bytes; 0: it does not run.
  double
  memory (int i) const
  {
    if (!runs (i))
      return 0;
    std::string path = std::string ("/proc/") + g_subprocess_get_identifier (processes_[(size_t) i]) + "/statm";
    g_autofree char *content = nullptr;
    long size = 0, resident = 0;
    if (!g_file_get_contents (path.c_str (), &content, nullptr, nullptr)
        || sscanf (content, "%ld %ld", &size, &resident) != 2)
      return 0;
    return (double) resident * (double) sysconf (_SC_PAGESIZE);
  }
  // The controller that leads and has recovered; -1: none.
  int
  leader ()
  {
    for (int i = 0; i < site_.size; i++) {
      if (processes_[(size_t) i] == nullptr)
        continue;
      auto status = call ("GET", mesh[(size_t) i], "/admin/status", nullptr, 1, FT_BODY_JSON);
      if (json_is_true (json_object_get (status->body, "recovered")))
        return i;
    }
    return -1;
  }
  int
  wait_for_leader (double seconds)
  {
    int found = -1;
    double end = now_s () + seconds;
    while (found < 0 && now_s () < end) {
      found = leader ();
      run_for (0.2);
    }
    return found;
  }

private:
  const Site &site_;
  std::string program_, folder_;
  std::vector<GSubprocess *> processes_;
  std::string
  file (int i) const
  {
    return folder_ + "/settings-" + std::to_string (i) + ".json";
  }
  std::string
  peer_addr (int i) const
  {
    return proxies.empty () ? mesh[(size_t) i] : proxies[(size_t) i]->addr;
  }
  void
  write_settings (int i, const Store &store, const Cloud &cloud)
  {
    json_t *others = json_array (), *teams = json_array (), *zones = json_array ();
    for (int j = 0; j < site_.size; j++)
      if (j != i)
        json_array_append_new (others, json_pack ("{s:s, s:s, s:s}", "member", ("hearth-" + std::to_string (j)).c_str (),
                                                  "area", site_.node_zones[(size_t) j].c_str (), "peer_addr",
                                                  peer_addr (j).c_str ()));
    for (const Team &team : site_.teams)
      json_array_append_new (teams, json_pack ("{s:s, s:f, s:f, s:f, s:f}", "name", team.name.c_str (), "cpus",
                                               team.cpus, "cpus_max", team.cpus_max, "gpus", 0.0, "gpus_max", 0.0));
    for (const std::string &zone : site_.zones)
      json_array_append_new (zones, json_string (zone.c_str ()));
    json_t *settings = json_pack (
        "{s:i, s:o, s:o, s:[], s:{s:f,s:f,s:f,s:f,s:f}, s:{s:f,s:f,s:f,s:i}, s:{s:f,s:f}, s:{s:f,s:f,s:i}, s:f}", "size",
        site_.size, "zones", zones, "teams", teams, "objectives", "workers", "report_s", site_.report_s, "lease_s",
        site_.lease_s, "gang_wait_s", 35.0, "gang_peer_s", 5.0, "cancel_s", site_.cancel_s, "state", "rps", site_.rps,
        "write_rps", site_.write_rps, "value_kb", site_.value_kb, "txn_ops", site_.txn_ops, "cloud", "rps",
        site_.cloud_rps, "list_lag_s", site_.list_lag_s, "resources", "cpu_share", 0.064, "ram_mb",
        site_.ram_mb, "fd_limit",
        site_.fd_limit, "skew_ms", 25.0);
    json_t *root = json_pack ("{s:s, s:s, s:s, s:s, s:o, s:{s:s, s:s}, s:o}", "member",
                              ("hearth-" + std::to_string (i)).c_str (), "area", site_.node_zones[(size_t) i].c_str (),
                              "front", front[(size_t) i].c_str (), "mesh_addr", mesh[(size_t) i].c_str (), "others",
                              others, "services", "cloud", cloud.addr (i).c_str (), "state", store.addr (i).c_str (),
                              "settings", settings);
    json_dump_file (root, file (i).c_str (), JSON_INDENT (1));
    json_decref (root);
  }
};

// ---- users ----

inline json_t *
submission (const JobSpec &spec)
{
  json_t *yard = spec.yard.empty () ? json_null () : json_string (spec.yard.c_str ());
  json_t *body = json_pack ("{s:s,s:s,s:s,s:s,s:s,s:i,s:f,s:f,s:f,s:s,s:f,s:n,s:o,s:b,s:b,s:b,s:f,s:f,s:f,s:f}", "ref",
                            spec.ref.c_str (), "lane", "work", "crew", spec.team.c_str (), "shape", "array", "urgency",
                            spec.urgency.c_str (), "pieces", spec.pieces, "cores", spec.cores, "cards", 0.0, "mem_gb",
                            spec.mem_gb, "bundle", spec.ref.substr (0, 5).c_str (), "pull_gb", 0.1, "builds", "yard",
                            yard, "one_zone", (int) spec.one_zone, "apart", (int) spec.apart, "loaners",
                            (int) spec.loaners, "guess_s", spec.guess_s, "bookmark_s", spec.bookmark_s, "shelve_s",
                            spec.shelve_s, "due_s", 600.0);
  if (!spec.awaits.empty ()) {
    json_t *refs = json_array ();
    for (const std::string &ref : spec.awaits)
      json_array_append_new (refs, json_string (ref.c_str ()));
    json_object_set_new (body, "awaits", refs);
  }
  return body;
}

struct World {
  Site site;
  Rules rules;
  Store store;
  Cloud cloud;
  Controllers controllers;
  World (const Site &site_, const std::string &program, const std::string &folder)
      : site (site_), store (site), cloud (site, rules), controllers (site, store, cloud, program, folder)
  {
    rules.site = &site;
    cloud.nodes = controllers.front;
    for (const std::string &zone : site.zones)
      cloud.capacity[zone] = cloud.capacity[zone + "/spot"] = 6;
    g_timeout_add (
        200,
        [] (gpointer data) -> gboolean {
          ((World *) data)->rules.sweep ();
          return G_SOURCE_CONTINUE;
        },
        this);
  }
  // Submits until the answer is final. Returns the status.
  guint
  submit (const JobSpec &spec, int node)
  {
    rules.jobs[spec.ref].spec = spec;
    double end = now_s () + 30;
    guint status = 0;
    while (now_s () < end) {
      double sent = now_s ();
      auto answer = call ("POST", controllers.front[(size_t) node], "/work", submission (spec));
      status = answer->status;
      record ("user: submits %s to controller %d: %u %s", spec.ref.c_str (), node, status,
              text (answer->body, "standing").c_str ());
      rules.told (spec.ref, status, text (answer->body, "standing"), true, sent, node);
      if (status == 200 || status == 201 || status == 400 || status == 422)
        break;
      run_for (1);
    }
    return status;
  }
  std::string
  withdraw (const std::string &ref, int node)
  {
    double end = now_s () + 30;
    rules.jobs[ref].asked_withdraw = true;
    while (now_s () < end) {
      double sent = now_s ();
      auto answer = call ("POST", controllers.front[(size_t) node], "/work/" + ref + "/withdraw");
      std::string standing = text (answer->body, "standing");
      record ("user: withdraws %s at controller %d: %u %s", ref.c_str (), node, answer->status, standing.c_str ());
      rules.told (ref, answer->status, standing, false, sent, node);
      if (answer->status == 200)
        return standing;
      run_for (1);
    }
    return "";
  }
  std::string
  poll (const std::string &ref, int node)
  {
    double sent = now_s ();
    auto answer = call ("GET", controllers.front[(size_t) node], "/work/" + ref, nullptr, 2);
    std::string standing = text (answer->body, "standing");
    record ("user: polls %s at controller %d: %u %s", ref.c_str (), node, answer->status, standing.c_str ());
    rules.told (ref, answer->status, standing, false, sent, node);
    return answer->status == 200 ? standing : std::to_string (answer->status);
  }
};

} // namespace review
