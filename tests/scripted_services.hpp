// Stand-ins for the cloud and the state service that handle the requests for jobs' rows as a test's scripts say.
#pragma once
#include <deque>
#include <vector>

#include "loopback.hpp"

extern "C" {
#include "wire/messages.h"
#include "wire/store.h"
}

namespace loopback {

// How the state service handles one request for a job's rows.
enum class Script {
  kExecute,         // executes the request and answers it
  kFail,            // answers with status 500
  kConflict,        // answers with a conflict that names no row
  kMalformed,       // answers with a malformed row
  kNotFound,        // answers that there is no such row
  kSilent,          // neither executes the request nor answers it
  kExecuteSilently, // executes the request and does not answer it
};

// A cloud, and a state service that handles the requests for jobs' rows as the scripts say.
struct ScriptedServices : ServiceServers {
  sim::Store store;
  std::deque<Script> scripts;
  std::vector<FtHttpRequest *> unanswered;
  bool down = false, has_catalog = true;
  std::function<void (const FtHttpRequest *)> received = [] (const FtHttpRequest *) {}; // called for each request
  std::function<void ()> before_commit_answer; // called before the answer to a transaction is sent, if it is set
  ScriptedServices () : ServiceServers (on_state, on_cloud, this) {}
  ~ScriptedServices ()
  {
    for (FtHttpRequest *request : unanswered)
      ft_http_respond (request, 503, nullptr);
  }
  void
  put (const std::string &key, json_t *value)
  {
    json_t *txn = ft_txn_new ();
    ft_txn_put (txn, key.c_str (), value);
    json_decref (store.commit (txn).second);
    json_decref (txn);
  }
  // Writes the rows of a job, as if another controller had accepted it.
  void
  put_job (const char *ref, std::vector<std::string> dependencies = {})
  {
    json_t *body = dependencies.empty () ? job (ref, 1) : job_after (ref, dependencies);
    FtJobSpec *spec = ft_message_job (body);
    put (std::string ("j/") + ref, ft_row_job_open (spec));
    put (std::string ("o/") + ref, ft_row_open (spec));
    ft_job_spec_free (spec);
    json_decref (body);
  }
  void
  put_ended (const char *ref, FtJobEnd end)
  {
    put (std::string ("j/") + ref, ft_row_job_ended (end, 1, 1));
  }
  std::pair<guint, json_t *>
  execute (FtHttpRequest *request)
  {
    std::string path = ft_http_path (request);
    if (path == "/commit")
      return store.commit (ft_http_body (request));
    if (path == "/store")
      return store.list (Services::argument (request, "under"), Services::argument (request, "since"), 1000);
    return store.get (path.substr (7));
  }
  void
  follow_script (Script script, FtHttpRequest *request)
  {
    bool executes = script == Script::kExecute || script == Script::kExecuteSilently;
    auto answer = executes ? execute (request) : std::pair<guint, json_t *> (500, nullptr);
    if (script == Script::kConflict)
      answer = { 409, json_pack ("{s:[]}", "failed") };
    else if (script == Script::kMalformed)
      answer = { 200, json_pack ("{s:s}", "data", "none") };
    else if (script == Script::kNotFound)
      answer = { 404, nullptr };
    if (script == Script::kSilent || script == Script::kExecuteSilently) {
      json_decref (answer.second);
      unanswered.push_back (request);
    } else {
      ft_http_respond (request, answer.first, answer.second);
    }
  }
  static void
  on_state (FtHttpRequest *request, gpointer data)
  {
    auto self = (ScriptedServices *) data;
    std::string path = ft_http_path (request);
    self->received (request);
    bool of_a_job = path == "/commit" || path.rfind ("/store/j/", 0) == 0 || path.rfind ("/store/o/", 0) == 0;
    if (self->down) {
      ft_http_respond (request, 503, nullptr);
    } else if (path == "/commit" && Services::claims (ft_http_body (request))) {
      ft_http_respond (request, 409, json_pack ("{s:[]}", "failed")); // no controller can acquire the lease
    } else if (of_a_job && !self->scripts.empty ()) {
      Script script = self->scripts.front ();
      self->scripts.pop_front ();
      self->follow_script (script, request);
    } else {
      auto answer = self->execute (request);
      if (path == "/commit" && self->before_commit_answer)
        self->before_commit_answer ();
      ft_http_respond (request, answer.first, answer.second);
    }
  }
  static void
  on_cloud (FtHttpRequest *request, gpointer data)
  {
    auto self = (ScriptedServices *) data;
    self->received (request);
    if (!self->has_catalog) {
      ft_http_respond (request, 503, nullptr);
      return;
    }
    ft_http_respond (request, 200, catalog ());
  }
};

} // namespace loopback
