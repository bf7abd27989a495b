// Jobs, workers, cloud and users of one run, and what they can see of the rules.
#pragma once
#include "standins.hpp"

namespace review {

struct Job {
  std::string ref, lane = "offer-letters", team, urgency = "normal";
  int pieces = 1;
  double cores = 1, mem_gb = 1;
  std::string bundle = "img-00";
  double pull_gb = 0.1, guess_s = 10, run_s = 10, bookmark_s = 0, shelve_s = 0, due_s = 0;
  bool loaners = true, one_zone = false, apart = false;
  std::string yard;
  std::vector<std::string> awaits;
  // What its user has done and was told.
  bool sent = false, accepted = false, withdraw_wanted = false;
  Seconds accepted_at = -1, withdrawn_at = -1, done_at = -1; // when its user was first told
  std::set<int> finished;                                   // tasks whose result is kept
  json_t *
  body () const
  {
    json_t *map = json_pack ("{s:s,s:s,s:s,s:s,s:s,s:i,s:f,s:f,s:f,s:s,s:f,s:n,s:s?,s:b,s:b,s:b,s:f,s:f,s:f}", "ref",
                             ref.c_str (), "lane", lane.c_str (), "crew", team.c_str (), "shape", "array", "urgency",
                             urgency.c_str (), "pieces", pieces, "cores", cores, "cards", 0.0, "mem_gb", mem_gb, "bundle",
                             bundle.c_str (), "pull_gb", pull_gb, "builds", "yard",
                             yard.empty () ? nullptr : yard.c_str (), "one_zone", one_zone, "apart", apart, "loaners",
                             loaners, "guess_s", guess_s, "bookmark_s", bookmark_s, "shelve_s", shelve_s);
    if (due_s > 0)
      json_object_set_new (map, "due_s", json_real (due_s));
    if (!awaits.empty ()) {
      json_t *list = json_array ();
      for (const std::string &ref : awaits)
        json_array_append_new (list, json_string (ref.c_str ()));
      json_object_set_new (map, "awaits", list);
    }
    return map;
  }
};

struct Worker;

// A broken rule: its name and what was seen.
struct Broken {
  std::string rule, what;
};

struct World {
  const Site &site;
  Controllers &controllers;
  std::map<std::string, Job> jobs;
  std::map<std::string, std::set<std::string> > on; // task -> machines on which it is
  std::map<std::string, double> team_use;
  std::vector<Broken> broken;
  std::map<std::string, std::unique_ptr<Worker> > workers;
  int starts = 0, completions = 0;
  // Called when a worker obeys a controller: it accepts the answer to a report that it sent at `sent`, or executes a
  // command that arrived at `sent`. `starts` is the number of orders to start a task.
  std::function<void (const std::string &machine, int node, guint64 baton, Seconds sent, int orders, int starts)> obeyed;

  World (const Site &site_, Controllers &controllers_) : site (site_), controllers (controllers_) {}

  void
  report (const std::string &rule, const std::string &what)
  {
    broken.push_back ({ rule, what });
    record ("RULE BROKEN: %s: %s", rule.c_str (), what.c_str ());
  }
  double
  limit_of (const std::string &team) const
  {
    for (const Team &each : site.teams)
      if (each.name == team)
        return each.cpus_max;
    return 0;
  }
  // A task has its image: it is on its machine from now on.
  void
  begun (const std::string &ref, int index, const std::string &machine, const std::string &zone)
  {
    Job &job = jobs.at (ref);
    std::string task = ref + "/" + std::to_string (index);
    starts++;
    record ("%s starts on %s (%s)", task.c_str (), machine.c_str (), zone.c_str ());
    for (const std::string &other : on[task])
      if (other != machine)
        report ("ran_twice", task + " starts on " + machine + " while it is on " + other);
    on[task].insert (machine);
    team_use[job.team] += job.cores;
    if (limit_of (job.team) > 0 && team_use[job.team] > limit_of (job.team) + 1e-6)
      report ("quota", job.team + " uses " + std::to_string (team_use[job.team]) + " with " + task);
    if (job.withdrawn_at >= 0 && now () > job.withdrawn_at + site.cancel_s)
      report ("ran_cancelled", task + " starts " + std::to_string (now () - job.withdrawn_at) + " s after");
    for (const std::string &needed : job.awaits)
      if ((int) jobs.at (needed).finished.size () < jobs.at (needed).pieces)
        report ("too_early", task + " starts before " + needed + " is done");
  }
  void
  over (const std::string &ref, int index, const std::string &machine, const char *how)
  {
    std::string task = ref + "/" + std::to_string (index);
    if (on[task].erase (machine) == 0)
      return;
    team_use[jobs.at (ref).team] -= jobs.at (ref).cores;
    record ("%s is over on %s (%s)", task.c_str (), machine.c_str (), how);
    check_cancelled (ref, task, machine);
  }
  // Called when a task leaves its machine and at the end: was it there too long after a cancellation?
  void
  check_cancelled (const std::string &ref, const std::string &task, const std::string &machine)
  {
    const Job &job = jobs.at (ref);
    if (job.withdrawn_at >= 0 && now () > job.withdrawn_at + site.cancel_s)
      report ("ran_cancelled", task + " is on " + machine + " " + std::to_string (now () - job.withdrawn_at)
                                   + " s after its user was told");
  }
  void
  check_all_cancelled ()
  {
    for (const auto &[task, machines] : on)
      for (const std::string &machine : machines)
        check_cancelled (task.substr (0, task.rfind ('/')), task, machine);
  }
  // An answer about a job, whose request was sent at `sent_at`.
  void
  told (const std::string &ref, const std::string &standing, Seconds sent_at, const std::string &where)
  {
    Job &job = jobs.at (ref);
    bool ended_before = (job.done_at >= 0 && job.done_at < sent_at) || (job.withdrawn_at >= 0 && job.withdrawn_at < sent_at);
    std::string before = job.done_at >= 0 ? "done" : "withdrawn";
    if (ended_before && standing != before)
      report ("went_back", ref + " was called " + before + " and is now called " + standing + " by " + where);
    if (standing == "done") {
      if ((int) job.finished.size () < job.pieces)
        report ("not_done", ref + " is called done with " + std::to_string (job.finished.size ()) + " of "
                                + std::to_string (job.pieces) + " tasks done");
      if (job.done_at < 0)
        job.done_at = now ();
    }
    if (standing == "withdrawn") {
      if (!ancestor_withdrawn (job))
        report ("went_back", ref + " was not cancelled and is called withdrawn by " + where);
      if (job.withdrawn_at < 0)
        job.withdrawn_at = now ();
    }
  }
  bool
  ancestor_withdrawn (const Job &job) const
  {
    if (job.withdraw_wanted)
      return true;
    for (const std::string &ref : job.awaits)
      if (ancestor_withdrawn (jobs.at (ref)))
        return true;
    return false;
  }
};

// ---- a machine and its worker ----

struct Worker {
  World &world;
  std::string name, zone;
  bool spot;
  std::unique_ptr<Server> server;
  size_t node;
  guint64 shift = 1, tally = 0, baton = 0;
  Seconds lease_from, last_report = -10, next_report = 0, baton_change_at = -100;
  bool changed = true, waiting = false, alive = true;
  double recall_s = -1;
  Seconds hung_until = 0;  // executes and answers nothing until then
  bool deaf = false;       // answers and commands to it are lost
  bool mute = false;       // it reaches no controller
  double late_reports = 0;  // share of its reports of which a copy arrives again, 2 s to two leases later
  double late_commands = 0; // share of the direct commands that are held up, unanswered, and carried out once, late
  Seconds late_least = 2, late_most = 16;
  std::vector<std::function<void ()> > inbox; // what arrives while it hangs
  struct Task {
    std::string ref;
    int index;
    gint64 attempt;
    std::string standing = "fetching", cause;
    bool saved = false;
    Seconds at = 0; // when the present phase ends
  };
  std::vector<Task> tasks;
  std::set<std::string> images;
  Seconds tick_at = 0;

  Worker (World &world_, std::string name_, std::string zone_, bool spot_)
      : world (world_), name (std::move (name_)), zone (std::move (zone_)), spot (spot_)
  {
    server = std::make_unique<Server> ([this] (FtHttpRequest *request) { on_command (request); });
    node = (size_t) g_rand_int_range (random_source (), 0, (gint32) world.controllers.front.size ());
    lease_from = now ();
    tick ();
  }
  bool
  hangs () const
  {
    return now () < hung_until;
  }
  void
  hang (Seconds seconds)
  {
    Seconds begun = now ();
    hung_until = begun + seconds;
    record ("%s hangs for %.1f s", name.c_str (), seconds);
    after (seconds, [this, seconds] {
      record ("%s goes on", name.c_str ());
      for (Task &task : tasks)
        task.at += seconds;
      check_lease ();
      auto arrived = std::move (inbox);
      inbox.clear ();
      for (auto &call : arrived)
        call ();
    });
  }
  void
  die (const char *how)
  {
    if (!alive)
      return;
    alive = false;
    record ("%s is gone (%s)", name.c_str (), how);
    for (Task &task : tasks)
      if (on_machine (task))
        world.over (task.ref, task.index, name, how);
    tasks.clear ();
  }
  static bool
  on_machine (const Task &task)
  {
    return task.standing == "running" || task.standing == "flushing";
  }
  void
  tick ()
  {
    if (!alive)
      return;
    after (0.05, [this] { tick (); });
    if (hangs ())
      return;
    check_lease ();
    run_tasks ();
    bool due = now () >= next_report || (changed && now () >= last_report + 0.5);
    if (!waiting && due)
      send_report ();
  }
  void
  check_lease ()
  {
    if (!alive || now () <= lease_from + world.site.lease_s)
      return;
    record ("%s: the lease of session %d is over", name.c_str (), (int) shift);
    for (Task &task : tasks)
      if (on_machine (task))
        world.over (task.ref, task.index, name, "lease over");
    tasks.clear ();
    shift++;
    lease_from = now ();
    changed = true;
  }
  void
  run_tasks ()
  {
    for (Task &task : tasks) {
      if (now () < task.at)
        continue;
      Job &job = world.jobs.at (task.ref);
      if (task.standing == "fetching") {
        images.insert (job.bundle);
        task.standing = "running";
        task.at = now () + (job.finished.count (task.index) ? 0 : job.run_s);
        world.begun (task.ref, task.index, name, zone);
        changed = true;
      } else if (task.standing == "running") {
        job.finished.insert (task.index);
        world.completions++;
        exit_task (task, "done");
      } else if (task.standing == "flushing") {
        task.saved = true;
        exit_task (task, "halted");
      }
    }
  }
  void
  exit_task (Task &task, const char *cause)
  {
    if (on_machine (task))
      world.over (task.ref, task.index, name, cause);
    task.standing = "exited";
    task.cause = cause;
    changed = true;
  }
  json_t *
  report ()
  {
    json_t *list = json_array ();
    for (const Task &task : tasks) {
      std::string piece = task.ref + "/" + std::to_string (task.index);
      json_t *item = json_pack ("{s:s, s:I, s:s}", "piece", piece.c_str (), "try", (json_int_t) task.attempt, "standing",
                                task.standing.c_str ());
      if (task.standing == "exited")
        json_object_set_new (item, "cause", json_string (task.cause.c_str ()));
      if (task.saved)
        json_object_set_new (item, "saved", json_true ());
      json_array_append_new (list, item);
    }
    return json_pack ("{s:s,s:s,s:s,s:s,s:b,s:I,s:I,s:I,s:o,s:o}", "hearth", name.c_str (), "address",
                      server->addr.c_str (), "build", world.site.type.c_str (), "yard", zone.c_str (), "loaners", spot,
                      "shift", (json_int_t) shift, "tally", (json_int_t) ++tally, "baton", (json_int_t) baton, "recall_s",
                      recall_s < 0 ? json_null () : json_real (recall_s), "pieces", list);
  }
  // The next report goes to another node, 1 s later.
  void
  try_next_node ()
  {
    node = (node + 1) % world.controllers.front.size ();
    next_report = now () + 1;
    last_report = now () + 0.5;
  }
  void
  send_report ()
  {
    waiting = true;
    changed = false;
    last_report = now ();
    next_report = now () + world.site.report_s * uniform (0.75, 1.25);
    Seconds sent = now ();
    guint64 session = shift;
    json_t *body = report ();
    if (mute) {
      json_decref (body);
      after (0.5, [this] {
        waiting = false;
        try_next_node ();
      });
      return;
    }
    if (uniform (0, 1) < late_reports) {
      auto target = (size_t) g_rand_int_range (random_source (), 0, (gint32) world.controllers.front.size ());
      json_t *copy = json_deep_copy (body);
      after (uniform (2, 2 * world.site.lease_s), [this, target, copy] {
        send ("POST", world.controllers.front[target], "/checkin", copy, 4, [] (guint, const json_t *) {});
      });
    }
    send ("POST", world.controllers.front[node], "/checkin", body, 4, [this, sent, session] (guint status, const json_t *answer) {
      json_t *kept = json_incref ((json_t *) answer);
      auto handle = [this, sent, session, status, kept] {
        on_answer (sent, session, status, kept);
        json_decref (kept);
      };
      if (hangs ())
        inbox.push_back (handle);
      else
        handle ();
    });
  }
  void
  on_answer (Seconds sent, guint64 session, guint status, const json_t *answer)
  {
    waiting = false;
    if (!alive)
      return;
    if (deaf || now () > sent + 4)
      status = 0; // lost, or dropped after 4 s
    if (status == 200) {
      auto token = (guint64) json_integer_value (json_object_get (answer, "baton"));
      if (json_object_get (answer, "baton") == nullptr || token < baton || session != shift)
        return;
      saw (token);
      lease_from = std::max (lease_from, sent);
      obey ((int) node, token, sent, json_object_get (answer, "orders"));
      return;
    }
    std::string leader = text (answer, "answers_to");
    if (status == 421 && leader.compare (0, 7, "hearth-") == 0) {
      auto target = (size_t) atoi (leader.c_str () + 7);
      if (target != node && target < world.controllers.front.size ()) {
        node = target;
        next_report = now () + uniform (0, 0.5);
        return;
      }
    }
    try_next_node ();
  }
  void
  saw (guint64 token)
  {
    if (token <= baton)
      return;
    baton = token;
    if (now () - baton_change_at > world.site.lease_s / 2) {
      baton_change_at = now ();
      changed = true;
    }
  }
  void
  on_command (FtHttpRequest *request)
  {
    if (!alive || deaf)
      return; // no answer ever comes
    if (hangs ()) {
      inbox.push_back ([this, request] { on_command (request); });
      return;
    }
    if (std::string (ft_http_path (request)) == "/show") {
      ft_http_respond (request, 200, report ());
      return;
    }
    if (uniform (0, 1) < late_commands && json_array_size (json_object_get (ft_http_body (request), "orders")) > 0) {
      record ("%s: a command is held up", name.c_str ());
      after (uniform (late_least, late_most), [this, request] {
        json_t *body = json_incref ((json_t *) ft_http_body (request));
        if (alive && accepts (body)) {
          saw ((guint64) json_integer_value (json_object_get (body, "baton")));
          execute (json_object_get (body, "orders"));
        }
        json_decref (body);
      });
      return;
    }
    check_lease ();
    run_tasks ();
    const json_t *body = ft_http_body (request);
    if (json_object_get (body, "baton") == nullptr || json_object_get (body, "shift") == nullptr) {
      ft_http_respond (request, 400, nullptr);
      return;
    }
    if (!accepts (body)) {
      ft_http_respond (request, 409, report ());
      return;
    }
    saw ((guint64) json_integer_value (json_object_get (body, "baton")));
    obey (-1, baton, now (), json_object_get (body, "orders"));
    ft_http_respond (request, 200, report ());
  }
  void
  obey (int from, guint64 token, Seconds sent, const json_t *orders)
  {
    size_t i;
    json_t *order;
    int count = 0;
    json_array_foreach (orders, i, order) count += text (order, "verb") == "start";
    if (world.obeyed)
      world.obeyed (name, from, token, sent, (int) json_array_size (orders), count);
    execute (orders);
  }
  bool
  accepts (const json_t *body) const
  {
    return (guint64) json_integer_value (json_object_get (body, "baton")) >= baton
           && (guint64) json_integer_value (json_object_get (body, "shift")) == shift;
  }
  void
  execute (const json_t *orders)
  {
    size_t i;
    json_t *order;
    json_array_foreach (orders, i, order)
    {
      std::string verb = text (order, "verb"), piece = text (order, "piece");
      std::string ref = piece.substr (0, piece.rfind ('/'));
      int index = atoi (piece.c_str () + piece.rfind ('/') + 1);
      gint64 attempt = json_integer_value (json_object_get (order, "try"));
      auto task = std::find_if (tasks.begin (), tasks.end (), [&] (const Task &each) {
        return each.ref == ref && each.index == index && each.attempt == attempt;
      });
      if (verb == "start" && task == tasks.end ()) {
        start (ref, index, attempt);
      } else if (verb == "stop" && task != tasks.end () && task->standing != "exited") {
        const Job &job = world.jobs.at (ref);
        double leeway = number (order, "leeway_s");
        if (task->standing == "running" && job.bookmark_s > 0 && leeway >= job.shelve_s) {
          task->standing = "flushing";
          task->at = now () + job.shelve_s;
          changed = true;
        } else if (task->standing != "flushing" || leeway <= 0) {
          exit_task (*task, "halted");
        }
      } else if (verb == "clear" && task != tasks.end () && task->standing == "exited") {
        tasks.erase (task);
        changed = true;
      }
    }
  }
  void
  start (const std::string &ref, int index, gint64 attempt)
  {
    Task task;
    task.ref = ref;
    task.index = index;
    task.attempt = attempt;
    auto job = world.jobs.find (ref);
    double cores = 0, mem = 0;
    bool in_use = false;
    for (const Task &each : tasks)
      if (each.standing != "exited") {
        cores += world.jobs.at (each.ref).cores;
        mem += world.jobs.at (each.ref).mem_gb;
        in_use |= each.ref == ref && each.index == index;
      }
    if (job == world.jobs.end () || !job->second.sent || index >= job->second.pieces)
      return; // cannot be: no such job
    task.standing = "exited";
    if (in_use)
      task.cause = "in_use";
    else if (cores + job->second.cores > world.site.cores + 1e-6 || mem + job->second.mem_gb > world.site.mem_gb + 1e-6)
      task.cause = "no_room";
    else
      task.standing = "fetching";
    bool cached = images.count (job->second.bundle) > 0;
    task.at = now () + (cached ? 0 : job->second.pull_gb / world.site.fetch_gb_per_s * uniform (0.7, 1.3));
    record ("%s executes start %s/%d try %" G_GINT64_FORMAT "%s%s", name.c_str (), ref.c_str (), index, attempt,
            task.cause.empty () ? "" : ": ", task.cause.c_str ());
    tasks.push_back (task);
    changed = true;
  }
};

// ---- the cloud ----

struct Cloud {
  World &world;
  std::vector<std::unique_ptr<Server> > ports; // one for each controller
  struct Rental {
    std::string name, zone;
    bool spot;
    Seconds rented_at;
    std::string standing; // starting, running, failed
    Seconds gone_at = -1;
  };
  std::vector<Rental> rentals;
  std::map<std::string, std::vector<std::string> > bookings;
  int capacity;                                  // machines at most
  std::map<std::string, int> ordinary, loaners; // the same in each zone; empty: no such limits
  int next = 1;
  bool outage = false;
  std::vector<std::pair<Seconds, json_t *> > lists; // past lists, to answer with one that lags
  Cloud (World &world_, int capacity_) : world (world_), capacity (capacity_)
  {
    for (size_t i = 0; i < world.controllers.processes.size (); i++)
      ports.push_back (std::make_unique<Server> ([this] (FtHttpRequest *request) { handle (request); }));
  }
  std::vector<std::string>
  addresses () const
  {
    std::vector<std::string> all;
    for (const auto &port : ports)
      all.push_back (port->addr);
    return all;
  }
  int
  alive () const
  {
    return (int) std::count_if (rentals.begin (), rentals.end (), [] (const Rental &each) { return each.gone_at < 0; });
  }
  // Whether the cloud has one more machine to give.
  bool
  has (const std::string &zone, bool spot) const
  {
    const auto &limits = spot ? loaners : ordinary;
    auto limit = limits.find (zone);
    auto rented = std::count_if (rentals.begin (), rentals.end (), [&] (const Rental &each) {
      return each.gone_at < 0 && each.zone == zone && each.spot == spot;
    });
    return alive () < capacity && (limit == limits.end () || rented < limit->second);
  }
  std::string
  rent (const std::string &zone, bool spot, Seconds boot_s)
  {
    g_autofree char *name = g_strdup_printf ("n-%06d", next++);
    std::string key = name;
    rentals.push_back ({ key, zone, spot, now (), boot_s <= 0 ? "running" : "starting" });
    auto boot = [this, key, zone, spot] {
      for (Rental &rental : rentals)
        if (rental.name == key && rental.gone_at < 0) {
          rental.standing = "running";
          world.workers[key] = std::make_unique<Worker> (world, key, zone, spot);
          record ("%s is up in %s%s", key.c_str (), zone.c_str (), spot ? ", spot" : "");
        }
    };
    if (boot_s <= 0)
      boot ();
    else
      after (boot_s, boot);
    return key;
  }
  void
  remove (const std::string &name, const char *how)
  {
    for (Rental &rental : rentals)
      if (rental.name == name && rental.gone_at < 0) {
        rental.gone_at = now ();
        auto worker = world.workers.find (name);
        if (worker != world.workers.end ())
          worker->second->die (how);
      }
  }
  void
  handle (FtHttpRequest *request)
  {
    std::string path = ft_http_path (request);
    if (outage) {
      ft_http_respond (request, 503, json_pack ("{s:s}", "error", "trouble"));
      return;
    }
    if (path == "/catalog") {
      json_t *zones = json_array ();
      for (const std::string &zone : world.site.zones)
        json_array_append_new (zones, json_string (zone.c_str ()));
      ft_http_respond (request, 200,
                       json_pack ("{s:[{s:s,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:o}]}", "builds", "name",
                                  world.site.type.c_str (), "cores", world.site.cores, "cards", 0.0, "mem_gb",
                                  world.site.mem_gb, "local_gb", 35.0, "fetch_gb_per_s", world.site.fetch_gb_per_s,
                                  "price", world.site.price, "market_price", world.site.market_price, "ready_s",
                                  world.site.ready_s, "yards", zones));
    } else if (path == "/rentals" && g_str_equal (ft_http_method (request), "GET")) {
      list (request);
    } else if (path == "/rentals") {
      const json_t *body = ft_http_body (request);
      std::string booking = text (body, "booking");
      if (bookings.count (booking) == 0) {
        std::vector<std::string> names;
        int wanted = (int) json_integer_value (json_object_get (body, "how_many"));
        bool spot = json_is_true (json_object_get (body, "loaners"));
        for (int i = 0; i < wanted && has (text (body, "yard"), spot); i++)
          names.push_back (rent (text (body, "yard"), spot, world.site.ready_s * uniform (0.6, 1.5)));
        if (names.empty ()) {
          ft_http_respond (request, 503, json_pack ("{s:s}", "error", "no capacity"));
          return;
        }
        bookings[booking] = names;
        record ("cloud: booking %s rents %zu machines", booking.c_str (), names.size ());
      }
      json_t *names = json_array ();
      for (const std::string &name : bookings[booking])
        json_array_append_new (names, json_string (name.c_str ()));
      ft_http_respond (request, 200, json_pack ("{s:o}", "hearths", names));
    } else if (path == "/rentals/return") {
      size_t i;
      json_t *name;
      json_array_foreach (json_object_get (ft_http_body (request), "hearths"), i, name)
      {
        record ("cloud: %s is returned", json_string_value (name));
        remove (json_string_value (name), "returned");
      }
      ft_http_respond (request, 200, json_object ());
    } else {
      ft_http_respond (request, 404, nullptr);
    }
  }
  // The machines as of `list_lag_s` ago.
  void
  list (FtHttpRequest *request)
  {
    std::string since = argument (request, "since");
    Seconds at = now () - world.site.list_lag_s;
    json_t *items = json_array ();
    for (const Rental &rental : rentals) {
      bool initial = rental.rented_at < 5;
      if ((rental.rented_at > at && !initial) || (rental.gone_at >= 0 && rental.gone_at <= at) || rental.name <= since)
        continue;
      auto worker = world.workers.find (rental.name);
      json_array_append_new (
          items, json_pack ("{s:s,s:s?,s:s,s:s,s:b,s:s,s:f}", "ref", rental.name.c_str (), "address",
                            worker != world.workers.end () ? worker->second->server->addr.c_str () : nullptr, "build",
                            world.site.type.c_str (), "yard", rental.zone.c_str (), "loaners", rental.spot, "standing",
                            rental.standing.c_str (), "held_s", std::max (0.0, at - rental.rented_at)));
    }
    ft_http_respond (request, 200, json_pack ("{s:o, s:b}", "hearths", items, "more", 0));
  }
};

// ---- users ----

// A user with one job: submits it, asks about it until it is over, and may cancel it.
struct User {
  World &world;
  Balancer &balancer;
  std::string ref;
  int node = -1; // the node of its open connection; -1: none
  Seconds poll_s = 5;
  const double *storm = nullptr; // how many times as often it asks at present
  Seconds first_sent = -1;
  bool over = false, withdrawing = false;
  int polls = 0, polls_failed = 0;
  Seconds last_answer = -1;
  std::function<void ()> on_accepted;

  User (World &world_, Balancer &balancer_, std::string ref_) : world (world_), balancer (balancer_), ref (std::move (ref_))
  {
  }
  bool
  connect ()
  {
    if (node >= 0)
      return true;
    node = balancer.choose ();
    if (node >= 0)
      balancer.users[(size_t) node]++;
    return node >= 0;
  }
  void
  disconnect ()
  {
    if (node >= 0)
      balancer.users[(size_t) node]--;
    node = -1;
  }
  const std::string &
  addr () const
  {
    return world.controllers.front[(size_t) node];
  }
  std::string
  node_name () const
  {
    return "hearth-" + std::to_string (node);
  }
  void
  submit ()
  {
    Job &job = world.jobs.at (ref);
    if (first_sent < 0)
      first_sent = now ();
    if (!connect ()) {
      after (1, [this] { submit (); });
      return;
    }
    job.sent = true;
    Seconds sent = now ();
    send (
        "POST", addr (), "/work", job.body (), 5,
        [this, sent] (guint status, const json_t *body) {
          record ("%s submitted to %s: %u %s", ref.c_str (), node_name ().c_str (), status, text (body, "standing").c_str ());
          if (status == 201 || status == 200) {
            Job &accepted = world.jobs.at (ref);
            if (!accepted.accepted) {
              accepted.accepted = true;
              accepted.accepted_at = now ();
            }
            world.told (ref, text (body, "standing"), sent, node_name ());
            if (on_accepted)
              on_accepted ();
            after (poll_s * uniform (0.2, 1.2), [this] { poll (); });
            return;
          }
          if (status == 400 || status == 422) {
            if (world.jobs.at (ref).accepted)
              world.report ("forgotten", ref + " was accepted and gets " + std::to_string (status));
            over = true;
            return;
          }
          if (status == 0)
            disconnect ();
          if (now () - first_sent < 60)
            after (1, [this] { submit (); });
          else
            over = true;
        },
        FT_BODY_CBOR, false);
  }
  Seconds
  pause () const
  {
    return poll_s / (storm != nullptr ? *storm : 1) * uniform (0.9, 1.1);
  }
  void
  poll ()
  {
    if (over)
      return;
    Seconds begun = now ();
    auto again = [this, begun] { after (std::max (0.01, begun + pause () - now ()), [this] { poll (); }); };
    if (!connect ()) {
      again ();
      return;
    }
    polls++;
    send (
        "GET", addr (), "/work/" + ref, nullptr, 2,
        [this, begun, again] (guint status, const json_t *body) {
          std::string standing = text (body, "standing");
          if (status == 200) {
            last_answer = now ();
            world.told (ref, standing, begun, node_name ());
          } else if (status == 404 && world.jobs.at (ref).accepted_at >= 0 && world.jobs.at (ref).accepted_at < begun) {
            world.report ("forgotten", ref + " was accepted and gets 404 from " + node_name ());
          } else {
            polls_failed++;
          }
          if (status == 0)
            disconnect ();
          if (standing == "done" || standing == "withdrawn") {
            record ("%s: %s says %s", ref.c_str (), node_name ().c_str (), standing.c_str ());
            over = true;
            disconnect ();
            return;
          }
          again ();
        },
        FT_BODY_CBOR, false);
  }
  void
  withdraw ()
  {
    world.jobs.at (ref).withdraw_wanted = true;
    if (!connect ()) {
      after (1, [this] { withdraw (); });
      return;
    }
    Seconds sent = now ();
    send (
        "POST", addr (), "/work/" + ref + "/withdraw", nullptr, 5,
        [this, sent] (guint status, const json_t *body) {
          std::string standing = text (body, "standing");
          record ("%s withdrawn at %s: %u %s", ref.c_str (), node_name ().c_str (), status, standing.c_str ());
          if (status == 200) {
            world.told (ref, standing, sent, node_name ());
            return;
          }
          if (status == 0)
            disconnect ();
          after (1, [this] { withdraw (); });
        },
        FT_BODY_CBOR, false);
  }
};

} // namespace review
