// Bodies of job submissions, and waiting for a job's state.
#pragma once
#include <vector>

#include "http.hpp"

namespace loopback {

// Waits until the controller at that address answers that the job is in that state; false if that takes too
// long.
inline bool
reaches_state (const std::string &addr, const char *ref, const char *standing)
{
  return wait_for ([&] { return call ("GET", addr, std::string ("/work/") + ref)->text ("standing") == standing; });
}

// The body of a job's submission; the caller owns it.
inline json_t *
job (const char *ref, int tasks, const char *team = "red", double cpus = 4)
{
  return json_pack ("{s:s,s:s,s:s,s:s,s:s,s:i,s:f,s:f,s:f,s:s,s:f,s:n,s:n,s:b,s:b,s:b,s:f,s:f,s:f,s:f}", "ref", ref,
                    "lane", "c", "crew", team, "shape", "array", "urgency", "high", "pieces", tasks, "cores", cpus,
                    "cards", 0.0, "mem_gb", 1.0, "bundle", "img", "pull_gb", 0.1, "builds", "yard", "one_zone", 0,
                    "apart", 0, "loaners", 1, "guess_s", 1.0, "bookmark_s", 0.0, "shelve_s", 0.0, "due_s", 60.0);
}

// The body of a submission of a job with dependencies; the caller owns it.
inline json_t *
job_after (const char *ref, std::vector<std::string> dependencies, int tasks = 1)
{
  json_t *body = job (ref, tasks), *refs = json_array ();
  for (const std::string &dependency : dependencies)
    json_array_append_new (refs, json_string (dependency.c_str ()));
  json_object_set_new (body, "awaits", refs);
  return body;
}

} // namespace loopback
