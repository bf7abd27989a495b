// The real program over loopback HTTP against the stand-ins: three controllers,
// one of them killed and started again. Time limits here only end a test that
// hangs; nothing is asserted about how long anything takes.
#include <gio/gio.h>
#include <glib/gstdio.h>
#include <gtest/gtest.h>
#include <signal.h>

#include "world.hpp"

extern "C" {
#include "net/http.h"
}

namespace {

std::string
free_address ()
{
  g_autoptr (GSocket) socket
      = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, nullptr);
  g_autoptr (GSocketAddress) any = g_inet_socket_address_new_from_string ("127.0.0.1", 0);
  g_socket_bind (socket, any, TRUE, nullptr);
  g_autoptr (GSocketAddress) bound = g_socket_get_local_address (socket, nullptr);
  return "127.0.0.1:" + std::to_string (g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (bound)));
}

bool
wait_for (std::function<bool ()> what)
{
  gint64 end = g_get_monotonic_time () + 60 * G_USEC_PER_SEC;
  while (!what ()) {
    if (g_get_monotonic_time () > end)
      return false;
    g_main_context_iteration (nullptr, FALSE);
    g_usleep (500);
  }
  return true;
}

struct Reply {
  bool done = false;
  guint status = 0;
  json_t *body = nullptr;
  ~Reply () { json_decref (body); }
  std::string
  text (const char *name) const
  {
    const char *value = json_string_value (json_object_get (body, name));
    return value ? value : "";
  }
};

FtHttpClient *
client ()
{
  static FtHttpClient *shared = ft_http_client_new (16, 64);
  return shared;
}

void
on_reply (guint status, const json_t *body, gpointer data)
{
  auto reply = (Reply *) data;
  reply->status = status;
  reply->body = json_incref ((json_t *) body);
  reply->done = true;
}

std::unique_ptr<Reply>
call (const char *method, const std::string &addr, const std::string &path, json_t *body = nullptr,
      FtBodyKind kind = FT_BODY_CBOR)
{
  auto reply = std::make_unique<Reply> ();
  ft_http_send (client (), method, addr.c_str (), path.c_str (), kind, body, 5, TRUE, on_reply, reply.get ());
  json_decref (body);
  wait_for ([&] { return reply->done; });
  return reply;
}

// State service and cloud over HTTP.
struct Services {
  sim::Store store;
  std::string state_addr = free_address (), cloud_addr = free_address ();
  FtHttpServer *state, *cloud;
  bool down = false;
  Services ()
  {
    state = ft_http_server_new (state_addr.c_str (), FT_BODY_CBOR, 500, on_state, this, nullptr);
    cloud = ft_http_server_new (cloud_addr.c_str (), FT_BODY_CBOR, 500, on_cloud, this, nullptr);
  }
  ~Services ()
  {
    ft_http_server_free (state);
    ft_http_server_free (cloud);
  }
  static std::string
  argument (FtHttpRequest *r, const char *name)
  {
    g_autoptr (GHashTable) all = g_uri_parse_params (ft_http_query (r), -1, "&", G_URI_PARAMS_NONE, nullptr);
    auto value = all ? (const char *) g_hash_table_lookup (all, name) : nullptr;
    return value ? value : "";
  }
  struct Follow {
    Services *self;
    FtHttpRequest *request;
    std::string prefix;
    guint64 since;
    gint64 end;
  };
  static gboolean
  follow (gpointer data)
  {
    auto f = (Follow *) data;
    if (!f->self->store.changed (f->prefix, f->since) && g_get_monotonic_time () < f->end)
      return G_SOURCE_CONTINUE;
    auto [status, body] = f->self->store.follow (f->prefix, f->since);
    ft_http_respond (f->request, status, body);
    delete f;
    return G_SOURCE_REMOVE;
  }
  static void
  on_state (FtHttpRequest *r, gpointer data)
  {
    auto self = (Services *) data;
    std::string path = ft_http_path (r);
    std::pair<guint, json_t *> answer = { 404, nullptr };
    if (self->down) {
      ft_http_respond (r, 503, nullptr);
      return;
    }
    if (path == "/commit") {
      answer = self->store.commit (ft_http_body (r));
    } else if (path == "/store") {
      answer = self->store.list (argument (r, "under"), argument (r, "since"), 1000);
    } else if (path == "/follow") {
      gint64 block = g_ascii_strtoll (argument (r, "block_ms").c_str (), nullptr, 10) * 1000;
      g_timeout_add (10, follow,
                     new Follow{ self, r, argument (r, "under"),
                                 g_ascii_strtoull (argument (r, "since").c_str (), nullptr, 10),
                                 g_get_monotonic_time () + block });
      return;
    } else if (path.rfind ("/store/", 0) == 0) {
      answer = self->store.get (path.substr (7));
    }
    ft_http_respond (r, answer.first, answer.second);
  }
  static void
  on_cloud (FtHttpRequest *r, gpointer)
  {
    std::string path = ft_http_path (r);
    if (path == "/catalog")
      ft_http_respond (r, 200,
                       json_loads ("{\"builds\":[{\"name\":\"std\",\"cores\":16,\"cards\":0,\"mem_gb\":64,"
                                   "\"local_gb\":50,\"fetch_gb_per_s\":1,\"price\":1,\"market_price\":0.4,"
                                   "\"ready_s\":30,\"yards\":[\"a\"]}]}",
                                   0, nullptr));
    else if (path == "/rentals" && g_str_equal (ft_http_method (r), "GET"))
      ft_http_respond (r, 200, json_pack ("{s:[], s:b}", "hearths", "more", 0));
    else if (path == "/rentals")
      ft_http_respond (r, 503, json_pack ("{s:s}", "error", "no capacity"));
    else
      ft_http_respond (r, 200, json_object ());
  }
};

// One machine: reports every 150 ms, its tasks take as long.
struct Machine {
  std::vector<std::string> nodes;
  std::string addr = free_address ();
  FtHttpServer *server;
  size_t node = 0;
  guint64 sequence = 0, token = 0;
  struct Task {
    std::string name;
    json_int_t attempt;
    std::string state, cause;
    int left;
  };
  std::vector<Task> tasks;
  guint starts = 0;
  bool waiting = false;
  guint timer;
  explicit Machine (std::vector<std::string> nodes_) : nodes (nodes_)
  {
    server = ft_http_server_new (addr.c_str (), FT_BODY_CBOR, 100, on_request, this, nullptr);
    timer = g_timeout_add (150, on_timer, this);
  }
  ~Machine ()
  {
    g_source_remove (timer);
    wait_for ([this] { return !waiting; });
    ft_http_server_free (server);
  }
  json_t *
  report ()
  {
    json_t *list = json_array ();
    for (const Task &t : tasks) {
      json_t *item
          = json_pack ("{s:s, s:I, s:s}", "piece", t.name.c_str (), "try", t.attempt, "standing", t.state.c_str ());
      if (!t.cause.empty ())
        json_object_set_new (item, "cause", json_string (t.cause.c_str ()));
      json_array_append_new (list, item);
    }
    return json_pack ("{s:s,s:s,s:s,s:s,s:b,s:i,s:I,s:I,s:n,s:o}", "hearth", "n-000001", "address", addr.c_str (),
                      "build", "std", "yard", "a", "loaners", 0, "shift", 1, "tally", (json_int_t) ++sequence, "baton",
                      (json_int_t) token, "recall_s", "pieces", list);
  }
  void
  execute (const json_t *orders)
  {
    size_t i;
    json_t *o;
    json_array_foreach (orders, i, o)
    {
      std::string verb = json_string_value (json_object_get (o, "verb"));
      std::string name = json_string_value (json_object_get (o, "piece"));
      json_int_t attempt = json_integer_value (json_object_get (o, "try"));
      auto it = std::find_if (tasks.begin (), tasks.end (),
                              [&] (const Task &t) { return t.name == name && t.attempt == attempt; });
      if (verb == "start" && it == tasks.end ()) {
        tasks.push_back ({ name, attempt, "running", "", name.rfind ("req-3/", 0) == 0 ? 100000 : 2 });
        starts++;
      } else if (verb == "stop" && it != tasks.end () && it->state != "exited") {
        it->state = "exited";
        it->cause = "halted";
      } else if (verb == "clear" && it != tasks.end () && it->state == "exited") {
        tasks.erase (it);
      }
    }
  }
  static void
  on_request (FtHttpRequest *r, gpointer data)
  {
    auto self = (Machine *) data;
    const json_t *body = ft_http_body (r);
    auto baton = (guint64) json_integer_value (json_object_get (body, "baton"));
    bool ok = baton >= self->token && json_integer_value (json_object_get (body, "shift")) == 1;
    if (ok) {
      self->token = baton;
      self->execute (json_object_get (body, "orders"));
    }
    ft_http_respond (r, ok ? 200 : 409, self->report ());
  }
  static void
  on_answer (guint status, const json_t *body, gpointer data)
  {
    auto self = (Machine *) data;
    self->waiting = false;
    auto baton = (guint64) json_integer_value (json_object_get (body, "baton"));
    if (status == 200 && baton >= self->token) {
      self->token = baton;
      self->execute (json_object_get (body, "orders"));
    } else if (status != 200) {
      self->node = (self->node + 1) % self->nodes.size ();
    }
  }
  static gboolean
  on_timer (gpointer data)
  {
    auto self = (Machine *) data;
    for (Task &t : self->tasks)
      if (t.state == "running" && --t.left <= 0) {
        t.state = "exited";
        t.cause = "done";
      }
    if (self->waiting)
      return G_SOURCE_CONTINUE;
    self->waiting = true;
    json_t *body = self->report ();
    ft_http_send (client (), "POST", self->nodes[self->node].c_str (), "/checkin", FT_BODY_CBOR, body, 2, TRUE,
                  on_answer, self);
    json_decref (body);
    return G_SOURCE_CONTINUE;
  }
};

struct Controllers {
  std::vector<std::string> front, mesh, files;
  std::vector<GSubprocess *> processes;
  Controllers (const Services &services, int n)
  {
    for (int i = 0; i < n; i++) {
      front.push_back (free_address ());
      mesh.push_back (free_address ());
    }
    for (int i = 0; i < n; i++) {
      json_t *others = json_array ();
      for (int j = 0; j < n; j++)
        if (j != i)
          json_array_append_new (others, json_pack ("{s:s, s:s}", "member", ("hearth-" + std::to_string (j)).c_str (),
                                                    "peer_addr", mesh[j].c_str ()));
      json_t *root = json_loads (R"({"settings":{"size":3,"zones":["a"],"teams":[{"name":"red","cpus":8.0,
        "cpus_max":16.0,"gpus":0.0,"gpus_max":0.0
    }],"objectives":[],
        "workers":{"report_s":0.3,"lease_s":20.0,"cancel_s":40.0},"state":{"rps":500.0,"write_rps":300.0,
        "value_kb":8.0,"txn_ops":16},"cloud":{"rps":3.0,"list_lag_s":1.0},
        "resources":{"cpu_share":1.0,"ram_mb":200.0,"fd_limit":1000},"skew_ms":25.0
  }})", 0, nullptr);
      json_object_set_new (root, "member", json_string (("hearth-" + std::to_string (i)).c_str ()));
json_object_set_new (root, "area", json_string ("a"));
json_object_set_new (root, "front", json_string (front[i].c_str ()));
json_object_set_new (root, "mesh_addr", json_string (mesh[i].c_str ()));
json_object_set_new (root, "others", others);
json_object_set_new (root, "services",
                     json_pack ("{s:s, s:s}", "cloud", services.cloud_addr.c_str (), "state",
                                services.state_addr.c_str ()));
char *name;
close (g_file_open_tmp ("flintrack-test-XXXXXX", &name, nullptr));
json_dump_file (root, name, 0);
json_decref (root);
files.push_back (name);
g_free (name);
processes.push_back (nullptr);
start (i);
}
}
~Controllers ()
{
  for (size_t i = 0; i < processes.size (); i++) {
    kill (i);
    g_unlink (files[i].c_str ());
  }
}
void
start (size_t i)
{
  processes[i] = g_subprocess_new (G_SUBPROCESS_FLAGS_STDERR_SILENCE, nullptr, FLINTRACK_PROGRAM, "--config",
                                   files[i].c_str (), nullptr);
}
void
kill (size_t i)
{
  if (processes[i] == nullptr)
    return;
  g_subprocess_send_signal (processes[i], SIGKILL);
  g_subprocess_wait (processes[i], nullptr, nullptr);
  g_clear_object (&processes[i]);
}
bool
ready (size_t i)
{
  return wait_for ([&] { return call ("GET", front[i], "/ready")->status == 200; });
}
}
;

// Runs flintctl; its output, and its exit code in `code`.
std::string
flintctl (std::vector<std::string> arguments, int *code)
{
  std::vector<const char *> argv = { FLINTCTL_PROGRAM };
  for (const std::string &a : arguments)
    argv.push_back (a.c_str ());
  argv.push_back (nullptr);
  GSubprocess *p = g_subprocess_newv (
      argv.data (), (GSubprocessFlags) (G_SUBPROCESS_FLAGS_STDOUT_PIPE | G_SUBPROCESS_FLAGS_STDERR_MERGE), nullptr);
  struct Out {
    bool done = false;
    char *text = nullptr;
  } out;
  auto on_out = [] (GObject *source, GAsyncResult *result, gpointer data) {
    auto o = (Out *) data;
    g_subprocess_communicate_utf8_finish (G_SUBPROCESS (source), result, &o->text, nullptr, nullptr);
    o->done = true;
  };
  g_subprocess_communicate_utf8_async (p, nullptr, nullptr, on_out, &out);
  wait_for ([&] { return out.done; });
  *code = g_subprocess_get_exit_status (p);
  std::string text = out.text ? out.text : "";
  g_free (out.text);
  g_object_unref (p);
  return text;
}

json_t *
change (json_int_t version, const char *name, json_t *value)
{
  return json_pack ("{s:I, s:{s:o}}", "version", version, "set", name, value);
}

json_t *
setting (const json_t *body, const char *name)
{
  size_t i;
  json_t *item;
  json_array_foreach (json_object_get (body, "settings"), i,
                      item) if (g_str_equal (json_string_value (json_object_get (item, "name")),
                                             name)) return json_object_get (item, "value");
  return nullptr;
}

json_t *
job (const char *ref, int tasks, const char *team = "red")
{
  return json_pack ("{s:s,s:s,s:s,s:s,s:s,s:i,s:f,s:f,s:f,s:s,s:f,s:n,s:n,s:b,s:b,s:b,s:f,s:f,s:f,s:f}", "ref", ref,
                    "lane", "c", "crew", team, "shape", "array", "urgency", "high", "pieces", tasks, "cores", 4.0,
                    "cards", 0.0, "mem_gb", 1.0, "bundle", "img", "pull_gb", 0.1, "builds", "yard", "one_zone", 0,
                    "apart", 0, "loaners", 1, "guess_s", 1.0, "bookmark_s", 0.0, "shelve_s", 0.0, "due_s", 60.0);
}

bool
finished (const std::string &addr, const char *ref, const char *standing)
{
  return wait_for ([&] { return call ("GET", addr, std::string ("/work/") + ref)->text ("standing") == standing; });
}

TEST (Program, ServesOverLoopbackAndSurvivesAKilledController)
{
  Services services;
  Controllers c (services, 3);
  for (size_t i = 0; i < 3; i++)
    ASSERT_TRUE (c.ready (i));
  Machine machine (c.front);

  // What cannot be taken.
  EXPECT_EQ (call ("POST", c.front[0], "/work", json_string ("no map"))->status, 400u);
  ASSERT_TRUE (wait_for ([&] { return call ("POST", c.front[0], "/work", job ("req-9", 1, "green"))->status == 422; }));
  EXPECT_EQ (call ("POST", c.front[0], "/work", job ("req-9", 0))->status, 400u);
  EXPECT_EQ (call ("GET", c.front[0], "/work/req-9")->status, 404u);
  EXPECT_EQ (call ("GET", c.front[0], "/nothing")->status, 404u);
  EXPECT_EQ (call ("GET", c.front[0], "/work")->status, 405u);
  EXPECT_EQ (call ("POST", c.front[0], "/work/req-9/withdraw")->status, 404u);

  // Accepted by one node, known to all, done once.
  auto accepted = call ("POST", c.front[1], "/work", job ("req-1", 6));
  EXPECT_EQ (accepted->status, 201u);
  EXPECT_EQ (accepted->text ("standing"), "queued");
  EXPECT_EQ (call ("POST", c.front[2], "/work", job ("req-1", 6))->status, 200u);
  EXPECT_TRUE (finished (c.front[0], "req-1", "done"));
  EXPECT_EQ (machine.starts, 6u);
  EXPECT_EQ (call ("POST", c.front[0], "/work/req-1/withdraw")->text ("standing"), "done");

  // A long job is running while each controller in turn is killed and started.
  EXPECT_EQ (call ("POST", c.front[0], "/work", job ("req-3", 2))->status, 201u);
  ASSERT_TRUE (finished (c.front[1], "req-3", "running"));
  guint started = machine.starts;
  for (size_t i = 0; i < 3; i++) {
    c.kill (i);
    c.start (i);
    ASSERT_TRUE (c.ready (i));
  }
  const char *ref = "req-4";
  EXPECT_EQ (call ("POST", c.front[0], "/work", job (ref, 3))->status, 201u);
  EXPECT_TRUE (finished (c.front[1], ref, "done"));
  EXPECT_EQ (machine.starts, started + 3) << "what ran went on through the takeovers";

  // Withdrawn: gone from the machine, and final on every node.
  EXPECT_EQ (call ("POST", c.front[2], "/work/req-3/withdraw")->text ("standing"), "withdrawn");
  EXPECT_TRUE (wait_for ([&] { return machine.tasks.empty (); }));
  for (size_t i = 0; i < 3; i++) {
    EXPECT_EQ (call ("GET", c.front[i], "/work/req-3")->text ("standing"), "withdrawn");
    EXPECT_EQ (call ("POST", c.front[i], "/work", job ("req-3", 2))->text ("standing"), "withdrawn");
  }
}

TEST (Program, AdministrationApiAndFlintctl)
{
  Services services;
  Controllers c (services, 3);
  for (size_t i = 0; i < 3; i++)
    ASSERT_TRUE (c.ready (i));
  Machine machine (c.front);
  auto get = [&] (size_t i, const char *path) { return call ("GET", c.mesh[i], path, nullptr, FT_BODY_JSON); };
  auto put = [&] (size_t i, json_t *body) { return call ("PUT", c.mesh[i], "/admin/settings", body, FT_BODY_JSON); };

  // The users' listener knows no administration.
  EXPECT_EQ (call ("GET", c.front[0], "/admin/status")->status, 404u);
  size_t leader = 3;
  ASSERT_TRUE (wait_for ([&] {
    for (size_t i = 0; i < 3; i++)
      if (json_is_true (json_object_get (get (i, "/admin/status")->body, "recovered")))
        leader = i;
    return leader < 3;
  }));
  size_t other = (leader + 1) % 3;
  EXPECT_EQ (get (leader, "/admin/teams")->status, 200u);
  ASSERT_TRUE (
      wait_for ([&] { return get (other, "/admin/status")->text ("leader") == "hearth-" + std::to_string (leader); }));
  auto pointed = get (other, "/admin/machines");
  EXPECT_EQ (pointed->status, 421u);
  EXPECT_EQ (pointed->text ("addr"), c.mesh[leader]);
  EXPECT_EQ (get (0, "/admin/nothing")->status, 404u);
  EXPECT_EQ (call ("DELETE", c.mesh[0], "/admin/status", nullptr, FT_BODY_JSON)->status, 405u);

  // A message between controllers beyond the limit is refused, and no more than that.
  std::string long_text (70000, 'x');
  json_t *overlong = json_pack ("{s:s, s:s}", "member", "hearth-1", "more", long_text.c_str ());
  EXPECT_EQ (call ("POST", c.mesh[0], "/mesh/beat", overlong, FT_BODY_JSON)->status, 400u);
  json_t *beat = json_pack ("{s:s, s:i}", "member", "hearth-1", "served_ms_ago", 1);
  EXPECT_EQ (call ("POST", c.mesh[0], "/mesh/beat", beat, FT_BODY_JSON)->status, 200u);

  // Settings: what is refused, and why.
  EXPECT_EQ (put (other, json_string ("no map"))->status, 400u);
  EXPECT_EQ (put (other, change (0, "no_such", json_real (1)))->status, 404u);
  auto range = put (other, change (0, "sample_size", json_real (0)));
  EXPECT_EQ (range->status, 422u);
  EXPECT_NE (range->text ("error").find ("from 1 to 500"), std::string::npos);
  EXPECT_EQ (put (other, change (0, "log_level", json_string ("loud")))->status, 422u);
  auto rule = put (other, change (0, "lease_time", json_real (50)));
  EXPECT_EQ (rule->status, 422u);
  EXPECT_NE (rule->text ("error").find ("withdrawal"), std::string::npos);
  EXPECT_EQ (put (other, change (77, "sample_size", json_real (9)))->status, 409u);

  // One change on a node that does not lead is in force everywhere, and stays.
  auto done = put (other, change (0, "sample_size", json_real (9)));
  ASSERT_EQ (done->status, 200u);
  json_int_t version = json_integer_value (json_object_get (done->body, "version"));
  auto in_force = [&] (size_t i) {
    auto now = get (i, "/admin/settings");
    json_t *value = setting (now->body, "sample_size");
    return json_is_number (value) && json_number_value (value) == 9;
  };
  for (size_t i = 0; i < 3; i++)
    EXPECT_TRUE (wait_for ([&] { return in_force (i); }));
  EXPECT_EQ (put (leader, change (version - 1, "sample_size", json_real (5)))->status, 409u);
  for (size_t i = 0; i < 3; i++)
    c.kill (i);
  for (size_t i = 0; i < 3; i++)
    c.start (i);
  for (size_t i = 0; i < 3; i++) {
    ASSERT_TRUE (c.ready (i));
    EXPECT_TRUE (wait_for ([&] { return in_force (i); }));
  }

  // A drained machine gets no work, after a restart of its leader too.
  std::vector<std::string> all = { "--node", "127.0.0.1:1", "--node", c.mesh[0], "--node", c.mesh[1] };
  auto ctl = [&] (std::vector<std::string> words, int *code) {
    words.insert (words.end (), all.begin (), all.end ());
    return flintctl (words, code);
  };
  int code;
  ASSERT_TRUE (wait_for ([&] { return ctl ({ "machines" }, &code).find ("n-000001  up") != std::string::npos; }));
  ctl ({ "drain", "n-000001" }, &code);
  EXPECT_EQ (code, 0);
  ctl ({ "drain", "n-000009" }, &code);
  EXPECT_EQ (code, 1);
  for (size_t i = 0; i < 3; i++) {
    c.kill (i);
    c.start (i);
    ASSERT_TRUE (c.ready (i));
  }
  EXPECT_EQ (call ("POST", c.front[0], "/work", job ("req-1", 1))->status, 201u);
  ASSERT_TRUE (wait_for ([&] { return ctl ({ "queue" }, &code).find ("req-1") != std::string::npos; }));
  EXPECT_TRUE (
      wait_for ([&] { return ctl ({ "machines" }, &code).find ("drained by an operator") != std::string::npos; }));
  EXPECT_EQ (machine.starts, 0u);
  EXPECT_NE (ctl ({ "job", "req-1" }, &code).find ("open"), std::string::npos);
  ctl ({ "job", "req-2" }, &code);
  EXPECT_EQ (code, 1);
  ctl ({ "undrain", "n-000001" }, &code);
  EXPECT_EQ (code, 0);
  EXPECT_TRUE (finished (c.front[1], "req-1", "done"));

  // The rest of flintctl.
  for (const char *word : { "status", "teams", "jobs", "metrics" }) {
    EXPECT_FALSE (ctl ({ word }, &code).empty ());
    EXPECT_EQ (code, 0) << word;
    flintctl ({ word, "--json", "--node", c.mesh[0] }, &code);
    EXPECT_EQ (code, 0) << word;
  }
  std::string json = flintctl ({ "status", "--json", "--node", c.mesh[0] }, &code);
  json_t *parsed = json_loads (json.c_str (), 0, nullptr);
  EXPECT_STREQ (json_string_value (json_object_get (parsed, "member")), "hearth-0");
  json_decref (parsed);
  EXPECT_NE (ctl ({ "settings", "set", "idle_time_spot", "30" }, &code).find ("idle_time_spot"), std::string::npos);
  EXPECT_EQ (code, 0);
  ctl ({ "settings", "set", "idle_time_spot", "x" }, &code);
  EXPECT_EQ (code, 1);
  ctl ({ "fly" }, &code);
  EXPECT_EQ (code, 2);
  flintctl ({ "status", "--node", "127.0.0.1:1" }, &code);
  EXPECT_EQ (code, 3);

  // Without the state service, changes are refused and users are told to come back.
  services.down = true;
  EXPECT_TRUE (wait_for ([&] { return put (0, change (0, "sample_size", json_real (9)))->status != 200; }));
  EXPECT_TRUE (wait_for ([&] { return call ("POST", c.front[0], "/work", job ("req-8", 1))->status == 503; }));
  services.down = false;
  EXPECT_TRUE (wait_for ([&] { return call ("POST", c.front[0], "/work", job ("req-8", 1))->status / 100 == 2; }));
}

} // namespace
