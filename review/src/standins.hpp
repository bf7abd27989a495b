// Stand-ins for the state service, the cloud, the workers and the users, and the controllers as processes. All of them
// follow PROTOCOL and DEPLOY; a case adds the disruption that it names. Everything runs on loopback addresses and the
// real clock, in one main loop.
#pragma once
#include <gio/gio.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdarg>
#include <cstdio>
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

using Seconds = double;

// ---- time, record, main loop ----

inline gint64 &
epoch ()
{
  static gint64 at = g_get_monotonic_time ();
  return at;
}

// Seconds since the start of the run.
inline Seconds
now ()
{
  return (double) (g_get_monotonic_time () - epoch ()) / G_USEC_PER_SEC;
}

// The record of what was sent, answered and run.
inline FILE *&
record_file ()
{
  static FILE *file = nullptr;
  return file;
}

inline void
record (const char *format, ...) G_GNUC_PRINTF (1, 2);
inline void
record (const char *format, ...)
{
  va_list args;
  va_start (args, format);
  fprintf (record_file (), "%8.3f ", now ());
  vfprintf (record_file (), format, args);
  fputc ('\n', record_file ());
  va_end (args);
}

inline void
after (Seconds seconds, std::function<void ()> call)
{
  auto *kept = new std::function<void ()> (std::move (call));
  g_timeout_add_full (
      G_PRIORITY_DEFAULT, (guint) std::max (0.0, seconds * 1000),
      [] (gpointer data) -> gboolean {
        (*(std::function<void ()> *) data) ();
        return G_SOURCE_REMOVE;
      },
      kept, [] (gpointer data) { delete (std::function<void ()> *) data; });
}

// Runs the main loop until the condition holds or the time is over; returns whether it holds.
inline bool
run_until (Seconds limit, const std::function<bool ()> &condition)
{
  Seconds end = now () + limit;
  bool tick = false;
  guint timer = g_timeout_add (
      5, [] (gpointer) -> gboolean { return G_SOURCE_CONTINUE; }, &tick);
  bool held;
  while (!(held = condition ()) && now () < end)
    g_main_context_iteration (nullptr, TRUE);
  g_source_remove (timer);
  return held;
}

inline void
run_for (Seconds seconds)
{
  run_until (seconds, [] { return false; });
}

inline GRand *
random_source ()
{
  static GRand *random = g_rand_new ();
  return random;
}

inline double
uniform (double least, double most)
{
  return g_rand_double_range (random_source (), least, most);
}

// ---- addresses and HTTP ----

// A loopback host that only this process uses.
inline std::string
own_host ()
{
  auto pid = (guint) getpid ();
  return "127." + std::to_string (1 + (pid >> 16) % 254) + "." + std::to_string ((pid >> 8) & 255) + "."
         + std::to_string (std::max (1u, pid & 255));
}

// An address on which nothing listens.
inline std::string
free_address ()
{
  g_autoptr (GSocket) socket
      = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, nullptr);
  g_autoptr (GSocketAddress) any = g_inet_socket_address_new_from_string (own_host ().c_str (), 0);
  g_socket_bind (socket, any, TRUE, nullptr);
  g_autoptr (GSocketAddress) bound = g_socket_get_local_address (socket, nullptr);
  return own_host () + ":" + std::to_string (g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (bound)));
}

inline FtHttpClient *
client ()
{
  static FtHttpClient *shared = ft_http_client_new (2000, 8000);
  return shared;
}

using Answered = std::function<void (guint status, const json_t *body)>;

// Sends a request; `done` is called once, with status 0 if no answer came in time. Takes over the body.
inline void
send (const char *method, const std::string &addr, const std::string &path, json_t *body, Seconds timeout, Answered done,
      FtBodyKind kind = FT_BODY_CBOR, bool fresh = true)
{
  auto *kept = new Answered (std::move (done));
  ft_http_send (
      client (), method, addr.c_str (), path.c_str (), kind, body, timeout, fresh,
      [] (guint status, const json_t *answer, gpointer data) {
        std::unique_ptr<Answered> call ((Answered *) data);
        (*call) (status, answer);
      },
      kept);
  json_decref (body);
}

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

inline std::string
argument (FtHttpRequest *request, const char *name)
{
  g_autoptr (GHashTable) all = g_uri_parse_params (ft_http_query (request), -1, "&", G_URI_PARAMS_NONE, nullptr);
  auto *value = all != nullptr ? (const char *) g_hash_table_lookup (all, name) : nullptr;
  return value != nullptr ? value : "";
}

// A listener that passes its requests to a function.
struct Server {
  std::string addr = free_address ();
  std::function<void (FtHttpRequest *)> handler;
  FtBodyKind kind;
  FtHttpServer *server = nullptr; // null: connections are refused
  explicit Server (std::function<void (FtHttpRequest *)> handler_, FtBodyKind kind_ = FT_BODY_CBOR)
      : handler (std::move (handler_)), kind (kind_)
  {
    listen ();
  }
  // Refuses connections from now on, and resets the open ones.
  void
  refuse ()
  {
    ft_http_server_free (server);
    server = nullptr;
  }
  void
  listen ()
  {
    if (server != nullptr)
      return;
    server = ft_http_server_new (
        addr.c_str (), kind, 1500,
        [] (FtHttpRequest *request, gpointer data) { ((Server *) data)->handler (request); }, this, nullptr);
    if (server == nullptr) {
      fprintf (stderr, "cannot listen on %s\n", addr.c_str ());
      exit (2);
    }
  }
};

// ---- the settings of a deployment ----

struct Team {
  std::string name;
  double cpus, cpus_max;
};

struct Site {
  std::vector<std::string> zones = { "regina-core", "saskatoon" };
  std::vector<std::string> areas = { "regina-core", "saskatoon", "regina-core" }; // of the controllers
  std::vector<Team> teams;
  double report_s = 2.5, lease_s = 14, cancel_s = 34;
  double rps = 100, write_rps = 40, value_kb = 16;
  int txn_ops = 12;
  double cloud_rps = 3, list_lag_s = 5;
  double cpu_share = 0.064, ram_mb = 104;
  int fd_limit = 1800;
  std::string type = "aspen16";
  double cores = 16, mem_gb = 64, fetch_gb_per_s = 0.3, ready_s = 50, price = 0.78, market_price = 0.26;
  double restart_s = 6; // a controller is back about so long after an end
};

// ---- the state service ----

struct StateService {
  const Site &site;
  struct Row {
    json_t *data;
    gint64 stamp;
  };
  struct Event {
    std::string key;
    json_t *data; // null: deleted
    gint64 stamp;
  };
  std::map<std::string, Row> rows;
  std::vector<Event> events;
  gint64 ledger = 0;
  double request_level, write_level;
  Seconds levels_at = 0;
  guint64 requests = 0, throttled = 0;
  Seconds latency = 0.004; // "Responses normally take under 10 ms"
  bool outage = false;     // every request gets 503; open watches remain open
  // What one controller meets on its way to the service.
  struct Port {
    std::unique_ptr<Server> server;
    bool refused = false; // 503 for this controller alone
    bool held = false;    // cut off: requests arrive, without an answer, when the cut ends
    std::vector<FtHttpRequest *> waiting;
    double late_share = 0; // share of the transactions that get no answer and are carried out late
    double lost_share = 0; // share of the transactions of which only the answer is lost
    std::function<double (const json_t *)> lose; // decides instead of `lost_share`; returns -1, or delay in s
  };
  std::vector<Port> ports;
  struct Watch {
    FtHttpRequest *request;
    std::string under;
    gint64 since;
    Seconds end;
    size_t port;
  };
  std::vector<Watch> watches;
  // Called for each row that a controller has written.
  std::function<void (size_t controller, const std::string &key, const json_t *data)> written;

  StateService (const Site &site_, size_t controllers)
      : site (site_), request_level (site_.rps), write_level (site_.write_rps), ports (controllers)
  {
    for (size_t i = 0; i < controllers; i++)
      ports[i].server = std::make_unique<Server> ([this, i] (FtHttpRequest *request) { handle (i, request); });
    tick ();
  }
  void
  tick ()
  {
    answer_watches ();
    after (0.02, [this] { tick (); });
  }
  void
  refill ()
  {
    Seconds passed = now () - levels_at;
    levels_at = now ();
    request_level = std::min (site.rps, request_level + passed * site.rps);
    write_level = std::min (site.write_rps, write_level + passed * site.write_rps);
  }
  bool
  take_request ()
  {
    refill ();
    requests++;
    if (request_level < 1) {
      throttled++;
      return false;
    }
    request_level -= 1;
    return true;
  }
  static bool
  under_prefix (const std::string &key, const std::string &prefix)
  {
    return key.compare (0, prefix.size (), prefix) == 0;
  }
  bool
  changed_since (const std::string &under, gint64 since) const
  {
    for (auto it = events.rbegin (); it != events.rend () && it->stamp > since; ++it)
      if (under_prefix (it->key, under))
        return true;
    return false;
  }
  void
  answer_watches ()
  {
    for (size_t i = 0; i < watches.size ();) {
      Watch &watch = watches[i];
      const Port &port = ports[watch.port];
      if (outage || port.refused || port.held
          || (!changed_since (watch.under, watch.since) && now () < watch.end)) {
        i++;
        continue;
      }
      json_t *list = json_array ();
      for (const Event &event : events) {
        if (event.stamp <= watch.since || !under_prefix (event.key, watch.under))
          continue;
        json_t *item = json_pack ("{s:s, s:I}", event.data != nullptr ? "write" : "delete", event.key.c_str (), "stamp",
                                  (json_int_t) event.stamp);
        if (event.data != nullptr)
          json_object_set (item, "data", event.data);
        json_array_append_new (list, item);
      }
      ft_http_respond (watch.request, 200, json_pack ("{s:I, s:o}", "ledger", (json_int_t) ledger, "events", list));
      watches.erase (watches.begin () + (long) i);
    }
  }
  // Executes a transaction; returns status and body.
  std::pair<guint, json_t *>
  commit (const json_t *txn, size_t controller)
  {
    json_t *conditions = json_object_get (txn, "if"), *changes = json_object_get (txn, "apply"), *item;
    size_t i;
    if (json_array_size (changes) > (size_t) site.txn_ops || json_array_size (conditions) > 4 * (size_t) site.txn_ops)
      return { 400, json_pack ("{s:s}", "error", "too large") };
    json_array_foreach (changes, i, item)
    {
      json_t *data = json_object_get (item, "data");
      if (data != nullptr && (double) json_dumpb (data, nullptr, 0, JSON_COMPACT) > site.value_kb * 1024)
        return { 400, json_pack ("{s:s}", "error", "too large") };
    }
    refill ();
    if ((double) json_array_size (changes) > write_level) {
      throttled++;
      return { 429, nullptr };
    }
    write_level -= (double) json_array_size (changes);
    json_t *failed = json_array ();
    json_array_foreach (conditions, i, item)
    {
      auto row = rows.find (text (item, "key"));
      gint64 found = row == rows.end () ? 0 : row->second.stamp;
      if (found != json_integer_value (json_object_get (item, "stamp")))
        json_array_append (failed, json_object_get (item, "key"));
    }
    if (json_array_size (failed) > 0)
      return { 409, json_pack ("{s:o, s:I}", "failed", failed, "ledger", (json_int_t) ledger) };
    json_decref (failed);
    if (json_array_size (changes) > 0)
      ledger++;
    json_array_foreach (changes, i, item)
    {
      bool write = json_object_get (item, "write") != nullptr;
      std::string key = text (item, write ? "write" : "delete");
      auto row = rows.find (key);
      if (!write && row == rows.end ())
        continue;
      if (row != rows.end ()) {
        json_decref (row->second.data);
        rows.erase (row);
      }
      json_t *data = write ? json_deep_copy (json_object_get (item, "data")) : nullptr;
      if (write)
        rows[key] = { data, ledger };
      events.push_back ({ key, json_incref (data), ledger });
      if (write && written)
        written (controller, key, data);
    }
    return { 200, json_pack ("{s:I}", "ledger", (json_int_t) ledger) };
  }
  json_t *
  row_body (const std::string &key, const Row &row) const
  {
    return json_pack ("{s:s, s:O, s:I}", "key", key.c_str (), "data", row.data, "stamp", (json_int_t) row.stamp);
  }
  std::pair<guint, json_t *>
  execute (FtHttpRequest *request, size_t controller)
  {
    std::string path = ft_http_path (request);
    if (path == "/commit")
      return commit (ft_http_body (request), controller);
    if (path == "/store") {
      std::string under = argument (request, "under"), since = argument (request, "since");
      json_t *list = json_array ();
      auto row = since.empty () ? rows.lower_bound (under) : rows.upper_bound (since);
      size_t limit = std::min<size_t> (1000, (size_t) std::max (1, atoi (argument (request, "limit").c_str ())));
      for (; row != rows.end () && under_prefix (row->first, under) && json_array_size (list) < limit; ++row)
        json_array_append_new (list, row_body (row->first, row->second));
      bool more = row != rows.end () && under_prefix (row->first, under);
      return { 200, json_pack ("{s:o, s:b, s:I}", "pairs", list, "more", more, "ledger", (json_int_t) ledger) };
    }
    if (path.compare (0, 7, "/store/") == 0) {
      auto row = rows.find (path.substr (7));
      if (row == rows.end ())
        return { 404, json_pack ("{s:I}", "ledger", (json_int_t) ledger) };
      return { 200, row_body (row->first, row->second) };
    }
    return { 404, nullptr };
  }
  void
  handle (size_t i, FtHttpRequest *request)
  {
    Port &port = ports[i];
    if (port.held) {
      port.waiting.push_back (request);
      return;
    }
    if (outage || port.refused) {
      after (latency, [request] { ft_http_respond (request, 503, nullptr); });
      return;
    }
    if (!take_request ()) {
      after (latency, [request] { ft_http_respond (request, 429, nullptr); });
      return;
    }
    std::string path = ft_http_path (request);
    if (path == "/follow") {
      watches.push_back ({ request, argument (request, "under"),
                           g_ascii_strtoll (argument (request, "since").c_str (), nullptr, 10),
                           now () + g_ascii_strtod (argument (request, "block_ms").c_str (), nullptr) / 1000, i });
      return;
    }
    if (path == "/commit") {
      double fate = -1;
      if (port.lose)
        fate = port.lose (ft_http_body (request));
      else if (uniform (0, 1) < port.late_share)
        fate = uniform (2, 12);
      else if (uniform (0, 1) < port.lost_share)
        fate = 0;
      if (fate >= 0) { // carried out after `fate` seconds, never answered
        after (fate, [this, request, i] {
          auto answer = execute (request, i);
          json_decref (answer.second);
        });
        return;
      }
    }
    after (latency, [this, request, i] {
      auto answer = execute (request, i);
      ft_http_respond (request, answer.first, answer.second);
    });
  }
  // Cuts the controller off, or ends the cut: what it sent meanwhile arrives then, in order and without an answer.
  void
  hold (size_t i, bool held)
  {
    ports[i].held = held;
    if (held)
      return;
    for (FtHttpRequest *request : ports[i].waiting)
      if (std::string (ft_http_path (request)) == "/commit") {
        auto answer = execute (request, i);
        json_decref (answer.second);
      }
    ports[i].waiting.clear ();
  }
};

// ---- controllers ----

struct Controllers {
  const Site &site;
  std::string folder; // of the settings files and logs
  std::vector<std::string> front, mesh, files;
  struct Process {
    GPid pid = 0; // 0: not running
    bool expected_end = false;
  };
  std::vector<Process> processes;
  std::vector<std::unique_ptr<Server>> peer_links; // link[i * n + j]: how controller i reaches the mesh of controller j
  std::vector<int> link_state;                     // 0: forwards, 1: refuses, 2: holds
  int unexpected_ends = 0;
  std::function<void (size_t i, int status)> ended;

  Controllers (const Site &site_, std::string folder_, size_t count) : site (site_), folder (std::move (folder_))
  {
    for (size_t i = 0; i < count; i++) {
      front.push_back (free_address ());
      mesh.push_back (free_address ());
    }
    processes.resize (count);
    link_state.resize (count * count);
    for (size_t i = 0; i < count * count; i++)
      peer_links.push_back (std::make_unique<Server> (
          [this, i, count] (FtHttpRequest *request) { forward (i, mesh[i % count], request); }, FT_BODY_JSON));
  }
  void
  forward (size_t link, const std::string &target, FtHttpRequest *request)
  {
    if (link_state[link] == 2)
      return; // no answer ever comes; the sender gives up
    send (
        ft_http_method (request), target, ft_http_path (request), json_incref ((json_t *) ft_http_body (request)), 1,
        [request] (guint status, const json_t *body) {
          ft_http_respond (request, status == 0 ? 503 : status, json_incref ((json_t *) body));
        },
        FT_BODY_JSON);
  }
  // Cuts controller i off from the others, in both directions, or ends that.
  void
  cut_peers (size_t i, int state)
  {
    size_t n = processes.size ();
    for (size_t j = 0; j < n; j++)
      for (size_t link : { i * n + j, j * n + i }) {
        link_state[link] = state;
        if (state == 1 && peer_links[link]->server != nullptr)
          peer_links[link]->refuse ();
        else if (state != 1)
          peer_links[link]->listen ();
      }
  }
  json_t *
  settings () const
  {
    json_t *zones = json_array (), *teams = json_array ();
    for (const std::string &zone : site.zones)
      json_array_append_new (zones, json_string (zone.c_str ()));
    for (const Team &team : site.teams)
      json_array_append_new (teams, json_pack ("{s:s, s:f, s:f, s:f, s:f}", "name", team.name.c_str (), "cpus", team.cpus,
                                               "cpus_max", team.cpus_max, "gpus", 0.0, "gpus_max", 0.0));
    return json_pack ("{s:i, s:o, s:o, s:[], s:{s:f, s:f, s:f, s:f, s:f}, s:{s:f, s:f, s:f, s:i}, s:{s:f, s:f},"
                      " s:{s:f, s:f, s:i}, s:f}",
                      "size", (int) processes.size (), "zones", zones, "teams", teams, "objectives", "workers",
                      "report_s", site.report_s, "lease_s", site.lease_s, "gang_wait_s", 45.0, "gang_peer_s", 5.0,
                      "cancel_s", site.cancel_s, "state", "rps", site.rps, "write_rps", site.write_rps, "value_kb",
                      site.value_kb, "txn_ops", site.txn_ops, "cloud", "rps", site.cloud_rps, "list_lag_s",
                      site.list_lag_s, "resources", "cpu_share", site.cpu_share, "ram_mb", site.ram_mb, "fd_limit",
                      site.fd_limit, "skew_ms", 25.0);
  }
  void
  write_settings (const StateService &state, const std::vector<std::string> &cloud)
  {
    size_t n = processes.size ();
    for (size_t i = 0; i < n; i++) {
      json_t *others = json_array ();
      for (size_t j = 0; j < n; j++)
        if (j != i)
          json_array_append_new (others,
                                 json_pack ("{s:s, s:s, s:s}", "member", ("hearth-" + std::to_string (j)).c_str (),
                                            "area", site.areas[j].c_str (), "peer_addr",
                                            peer_links[i * n + j]->addr.c_str ()));
      json_t *root
          = json_pack ("{s:s, s:s, s:s, s:s, s:o, s:{s:s, s:s}, s:o}", "member",
                       ("hearth-" + std::to_string (i)).c_str (), "area", site.areas[i].c_str (), "front",
                       front[i].c_str (), "mesh_addr", mesh[i].c_str (), "others", others, "services", "cloud",
                       cloud[i].c_str (), "state", state.ports[i].server->addr.c_str (), "settings", settings ());
      files.push_back (folder + "/hearth-" + std::to_string (i) + ".json");
      json_dump_file (root, files.back ().c_str (), JSON_INDENT (1));
      json_decref (root);
    }
  }
  // The words of `run` in the deploy file, without quotes.
  static std::vector<std::string>
  run_words ()
  {
    g_autofree char *content = nullptr;
    if (!g_file_get_contents ("deploy/service.toml", &content, nullptr, nullptr)) {
      fprintf (stderr, "deploy/service.toml cannot be read\n");
      exit (2);
    }
    std::vector<std::string> words;
    g_auto (GStrv) lines = g_strsplit (content, "\n", -1);
    for (int i = 0; lines[i] != nullptr; i++) {
      if (!g_str_has_prefix (lines[i], "run = \""))
        continue;
      std::string value = lines[i] + strlen ("run = \"");
      value.resize (value.rfind ('"'));
      g_auto (GStrv) parts = g_strsplit (value.c_str (), " ", -1);
      for (int j = 0; parts[j] != nullptr; j++)
        words.push_back (parts[j]);
    }
    return words;
  }
  void
  start (size_t i)
  {
    std::vector<std::string> words = run_words ();
    words.push_back (files[i]);
    std::string log = folder + "/hearth-" + std::to_string (i) + ".log";
    pid_t pid = fork ();
    if (pid == 0) {
      prctl (PR_SET_PDEATHSIG, SIGKILL); // ends with the run, however that ends
      FILE *out = freopen (log.c_str (), "a", stderr);
      (void) out;
      std::vector<char *> argv;
      for (std::string &word : words)
        argv.push_back (word.data ());
      argv.push_back (nullptr);
      struct rlimit none = { 0, 0 };
      setrlimit (RLIMIT_CORE, &none); // leaves no core files on the machine
      execv (argv[0], argv.data ());
      _exit (127);
    }
    processes[i] = { pid, false };
    record ("hearth-%zu started as process %d", i, (int) pid);
    auto *watched = new std::pair<Controllers *, size_t> (this, i);
    g_child_watch_add_full (
        G_PRIORITY_HIGH, pid,
        [] (GPid ended_pid, gint status, gpointer data) {
          auto *pair = (std::pair<Controllers *, size_t> *) data;
          pair->first->on_end (pair->second, ended_pid, status);
        },
        watched, [] (gpointer data) { delete (std::pair<Controllers *, size_t> *) data; });
  }
  void
  on_end (size_t i, GPid pid, int status)
  {
    bool current = processes[i].pid == pid;
    bool expected = !current || processes[i].expected_end;
    if (current)
      processes[i].pid = 0;
    if (expected)
      return;
    unexpected_ends++;
    if (WIFSIGNALED (status))
      record ("hearth-%zu ENDED BY ITSELF: signal %d (%s)", i, WTERMSIG (status), strsignal (WTERMSIG (status)));
    else
      record ("hearth-%zu ENDED BY ITSELF: exit code %d", i, WEXITSTATUS (status));
    if (ended)
      ended (i, status);
  }
  void
  kill (size_t i)
  {
    if (processes[i].pid == 0)
      return;
    record ("hearth-%zu killed", i);
    processes[i].expected_end = true;
    ::kill (processes[i].pid, SIGKILL);
    GPid pid = processes[i].pid;
    run_until (5, [&] { return processes[i].pid != pid; });
  }
  void
  signal (size_t i, int number)
  {
    if (processes[i].pid != 0)
      ::kill (processes[i].pid, number);
  }
  void
  end_all ()
  {
    for (size_t i = 0; i < processes.size (); i++) {
      signal (i, SIGCONT);
      kill (i);
    }
  }
  // Asks each controller for its status and calls `done` with the index of the one that leads and has recovered.
  int
  leader (Seconds limit = 30)
  {
    int found = -1;
    Seconds end = now () + limit;
    while (found < 0 && now () < end) {
      size_t pending = processes.size ();
      for (size_t i = 0; i < processes.size (); i++)
        send (
            "GET", mesh[i], "/admin/status", nullptr, 1,
            [&found, &pending, i] (guint, const json_t *body) {
              pending--;
              if (json_is_true (json_object_get (body, "recovered")) && text (body, "lease") == "holding")
                found = (int) i;
            },
            FT_BODY_JSON);
      run_until (2, [&] { return pending == 0; });
      if (found < 0)
        run_for (0.2);
    }
    return found;
  }
};

// ---- the load balancer ----

struct Balancer {
  Controllers &controllers;
  struct Node {
    bool healthy = false, ever = false;
    int failures = 0, successes = 0;
    std::vector<bool> last;
    Seconds unhealthy_since = 0;
    Seconds pause = 3;
  };
  std::vector<Node> nodes;
  std::vector<int> users; // open connections of users
  explicit Balancer (Controllers &controllers_) : controllers (controllers_)
  {
    nodes.resize (controllers.processes.size ());
    users.resize (nodes.size ());
    for (size_t i = 0; i < nodes.size (); i++)
      after (uniform (0, 1), [this, i] { probe (i); });
  }
  void
  probe (size_t i)
  {
    send ("GET", controllers.front[i], "/ready", nullptr, 1, [this, i] (guint status, const json_t *) {
      Node &node = nodes[i];
      bool ok = status == 200;
      node.last.push_back (ok);
      if (node.last.size () > 6)
        node.last.erase (node.last.begin ());
      node.failures = ok ? 0 : node.failures + 1;
      node.successes = ok ? node.successes + 1 : 0;
      if (node.healthy
          && (node.failures >= 2 || std::count (node.last.begin (), node.last.end (), false) >= 3)) {
        node.healthy = false;
        node.unhealthy_since = now ();
        record ("balancer: hearth-%zu is unhealthy", i);
      } else if (!node.healthy && ok
                 && (!node.ever || (node.successes >= 2 && now () - node.unhealthy_since >= node.pause))) {
        node.healthy = node.ever = true;
        node.last.clear ();
        record ("balancer: hearth-%zu is healthy", i);
      }
    });
    after (1, [this, i] { probe (i); });
  }
  // The healthy node with the fewest open connections of users, other than `except`; -1: none.
  int
  choose (int except = -1)
  {
    int best = -1;
    for (size_t i = 0; i < nodes.size (); i++)
      if (nodes[i].healthy && (int) i != except && (best < 0 || users[i] < users[(size_t) best]))
        best = (int) i;
    return best;
  }
};

} // namespace review
