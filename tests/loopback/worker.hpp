// Stand-in for a worker over loopback HTTP.
#pragma once
#include <algorithm>
#include <functional>
#include <map>
#include <vector>

#include "handles.hpp"
#include "http.hpp"

namespace loopback {

// A worker that follows the protocol, with a tick every `tick_ms`. Each task runs for `ticks` ticks, except that the
// tasks of jobs whose names begin with req-3 run until they are stopped.
struct Machine {
  std::vector<std::string> nodes; // addresses of the controllers
  std::string name, addr = free_address ();
  int ticks;           // run time of a task, in ticks
  int heartbeat_ticks; // ticks between two heartbeats if nothing changes
  int ticks_since_heartbeat = 0;
  bool changed = true; // a change is to be reported at the next tick
  FtHttpServer *server;
  size_t node = 0; // index of the controller that it reports to
  guint64 sequence = 0, token = 0;
  struct Task {
    std::string name;
    json_int_t attempt;
    std::string state, cause;
    int left; // ticks until the task completes
  };
  std::vector<Task> tasks;
  guint starts = 0;           // start commands executed
  guint cancelled_starts = 0; // start commands executed for jobs whose names begin with req-3, without req-3 itself
  std::map<std::string, guint> first_starts; // task -> rank of its first start among all first starts, from 1
  bool waiting = false;                      // a heartbeat is in flight
  std::vector<double> copy_delays_s;         // of each direct request a copy arrives that many seconds later
  guint copies_executed = 0, copies_refused = 0;
  guint timer;
  explicit Machine (std::vector<std::string> nodes_, std::string name_ = "n-000001", guint tick_ms = 150,
                    int ticks_ = 2, int heartbeat_ticks_ = 1)
      : nodes (nodes_), name (name_), ticks (ticks_), heartbeat_ticks (heartbeat_ticks_)
  {
    server = ft_http_server_new (addr.c_str (), FT_BODY_CBOR, 100, on_request, this, nullptr);
    timer = g_timeout_add (tick_ms, on_timer, this);
  }
  ~Machine ()
  {
    g_source_remove (timer);
    wait_for ([this] { return !waiting; });
    ft_http_server_free (server);
  }
  // Whether the worker has a task of that job which has not exited.
  bool
  has (const std::string &job) const
  {
    return std::any_of (tasks.begin (), tasks.end (), [&] (const Task &task) {
      return task.name.rfind (job + "/", 0) == 0 && task.state != "exited";
    });
  }
  // The rank of the task's first start among the first starts of all tasks, from 1; 0 if it never started.
  guint
  first_start_of (const std::string &task) const
  {
    auto it = first_starts.find (task);
    return it == first_starts.end () ? 0 : it->second;
  }
  json_t *
  heartbeat ()
  {
    json_t *list = json_array ();
    for (const Task &task : tasks) {
      json_t *item = json_pack ("{s:s, s:I, s:s}", "piece", task.name.c_str (), "try", task.attempt, "standing",
                                task.state.c_str ());
      if (!task.cause.empty ())
        json_object_set_new (item, "cause", json_string (task.cause.c_str ()));
      json_array_append_new (list, item);
    }
    return json_pack ("{s:s,s:s,s:s,s:s,s:b,s:i,s:I,s:I,s:n,s:o}", "hearth", name.c_str (), "address", addr.c_str (),
                      "build", "std", "yard", "a", "loaners", 0, "shift", 1, "tally", (json_int_t) ++sequence, "baton",
                      (json_int_t) token, "recall_s", "pieces", list);
  }
  void
  execute (const json_t *orders)
  {
    changed |= json_array_size (orders) > 0;
    size_t i;
    json_t *command;
    json_array_foreach (orders, i, command)
    {
      std::string verb = json_string_value (json_object_get (command, "verb"));
      std::string name = json_string_value (json_object_get (command, "piece"));
      json_int_t attempt = json_integer_value (json_object_get (command, "try"));
      auto it = std::find_if (tasks.begin (), tasks.end (),
                              [&] (const Task &task) { return task.name == name && task.attempt == attempt; });
      if (verb == "start" && it == tasks.end ()) {
        bool endless = name.rfind ("req-3", 0) == 0;
        tasks.push_back ({ name, attempt, "running", "", endless ? 100000 : ticks });
        starts++;
        cancelled_starts += endless && name.rfind ("req-3/", 0) != 0;
        first_starts.emplace (name, (guint) first_starts.size () + 1);
      } else if (verb == "stop" && it != tasks.end () && it->state != "exited") {
        it->state = "exited";
        it->cause = "halted";
      } else if (verb == "clear" && it != tasks.end () && it->state == "exited") {
        tasks.erase (it);
      }
    }
  }
  // Executes a direct request; returns false if the worker refuses it.
  bool
  execute_direct (const json_t *body)
  {
    auto received_token = (guint64) json_integer_value (json_object_get (body, "baton"));
    if (received_token < token || json_integer_value (json_object_get (body, "shift")) != 1)
      return false;
    token = received_token;
    execute (json_object_get (body, "orders"));
    return true;
  }
  static void
  on_request (FtHttpRequest *request, gpointer data)
  {
    auto self = (Machine *) data;
    const json_t *body = ft_http_body (request);
    bool ok = self->execute_direct (body);
    for (double delay_s : self->copy_delays_s)
      self->copies_.push_back (
          { g_get_monotonic_time () + (gint64) (delay_s * G_USEC_PER_SEC), sim::adopt (json_deep_copy (body)) });
    ft_http_respond (request, ok ? 200 : 409, self->heartbeat ());
  }
  // Executes the copies of direct requests that are due.
  void
  receive_copies ()
  {
    gint64 now = g_get_monotonic_time ();
    auto is_due = [now] (const Copy &copy) { return copy.at <= now; };
    auto due = std::stable_partition (copies_.begin (), copies_.end (), std::not_fn (is_due));
    for (auto copy = due; copy != copies_.end (); ++copy)
      (execute_direct (copy->body.get ()) ? copies_executed : copies_refused)++;
    copies_.erase (due, copies_.end ());
  }
  static void
  on_answer (guint status, const json_t *body, gpointer data)
  {
    auto self = (Machine *) data;
    self->waiting = false;
    auto received_token = (guint64) json_integer_value (json_object_get (body, "baton"));
    if (status == 200 && received_token >= self->token) {
      self->token = received_token;
      self->execute (json_object_get (body, "orders"));
    } else if (status != 200) {
      self->node = (self->node + 1) % self->nodes.size ();
    }
  }
  static gboolean
  on_timer (gpointer data)
  {
    auto self = (Machine *) data;
    self->receive_copies ();
    for (Task &task : self->tasks)
      if (task.state == "running" && --task.left <= 0) {
        task.state = "exited";
        task.cause = "done";
        self->changed = true;
      }
    if (self->waiting || (++self->ticks_since_heartbeat < self->heartbeat_ticks && !self->changed))
      return G_SOURCE_CONTINUE;
    self->waiting = true;
    self->changed = false;
    self->ticks_since_heartbeat = 0;
    json_t *body = self->heartbeat ();
    ft_http_send (client (), "POST", self->nodes[self->node].c_str (), "/checkin", FT_BODY_CBOR, body, 2, FALSE,
                  on_answer, self);
    json_decref (body);
    return G_SOURCE_CONTINUE;
  }

private:
  // A copy of a direct request on its way.
  struct Copy {
    gint64 at; // when it arrives, in microseconds of the steady clock
    sim::Json body;
  };
  std::vector<Copy> copies_;
};

} // namespace loopback
