// Case 3: a packet filter between one controller, the leader, and the two others: they refuse each other's connections.
// Is the leader replaced while its lease lasts, so that two act as the leader?
#include "world.hpp"

using namespace review;

namespace {

constexpr double kRefuseAt = 30;  // after the first answer of a leader
constexpr double kRefuseFor = 20; // kit: peers_refuse, for_s = 20 to 40

Site
site ()
{
  Site site; // Prairie Cradle, BRIEF
  site.teams = { { "enrolment-office", 24, 80 }, { "finance-desk", 80, 256 }, { "centre-liaison", 64, 216 },
                 { "family-support", 40, 152 },  { "board-reporting", 40, 80 }, { "platform-crew", 32, 104 } };
  return site;
}

struct Run {
  Site deployment = site ();
  std::string folder;
  Controllers controllers;
  StateService state;
  World world;
  Cloud cloud;
  Balancer balancer;
  std::vector<std::unique_ptr<User> > users;
  int next_ref = 100;
  bool trouble;
  // The lease, as the state service sees it.
  int holder = -1;
  gint64 token = 0;
  Seconds renewed_at = -1, lease_s = 0;
  bool released = false;
  // A holder that was replaced while its lease lasted, until it is clear that it has stepped down.
  int former = -1;
  gint64 former_token = 0;
  Seconds replaced_at = -1, lease_left = 0;
  int early_claims = 0, stale_answers = 0, stale_orders = 0, stale_starts = 0;

  Run (std::string folder_, bool trouble_)
      : folder (std::move (folder_)), controllers (deployment, folder, 3), state (deployment, 3),
        world (deployment, controllers), cloud (world, 28), balancer (controllers), trouble (trouble_)
  {
    controllers.write_settings (state, cloud.addresses ());
    state.written = [this] (size_t i, const std::string &key, const json_t *data) { on_written ((int) i, key, data); };
    world.obeyed = [this] (const std::string &machine, int node, guint64 baton, Seconds sent, int orders, int starts) {
      on_obeyed (machine, node, (gint64) baton, sent, orders, starts);
    };
  }
  void
  on_written (int i, const std::string &key, const json_t *data)
  {
    if (key == "l/fence") {
      gint64 raised = json_integer_value (json_object_get (data, "token"));
      Seconds left = renewed_at + lease_s - now ();
      record ("state service: hearth-%d takes the lease with token %d%s", i, (int) raised,
              holder < 0 ? "" : released ? ", which was released" : "");
      if (holder >= 0 && holder != i && !released && left > 0) {
        record ("  hearth-%d renewed it %.2f s ago for %.1f s: %.2f s are left", holder, now () - renewed_at, lease_s, left);
        early_claims++;
        former = holder;
        former_token = token;
        replaced_at = now ();
        lease_left = left;
      }
      holder = i;
      token = raised;
    } else if (key == "l/renewal") {
      renewed_at = now ();
      lease_s = number (data, "lease_ms") / 1000;
      released = json_is_true (json_object_get (data, "released"));
    }
  }
  // A worker has obeyed a controller. Whoever it was, the baton says for which leadership it spoke.
  void
  on_obeyed (const std::string &machine, int node, gint64 baton, Seconds sent, int orders, int starts)
  {
    // What was sent before the claim was answered, or within the time that a message takes, does not count.
    if (former < 0 || baton != former_token || sent < replaced_at + 0.1)
      return;
    record ("  %s obeys %s with the former baton %d, %.2f s after the claim: %d orders, %d of them starts",
            machine.c_str (), node < 0 ? "a direct command" : ("the 200 of hearth-" + std::to_string (node)).c_str (),
            (int) baton, now () - replaced_at, orders, starts);
    stale_answers++;
    stale_orders += orders;
    stale_starts += starts;
  }
  // The classes of the site, as BRIEF gives them.
  struct Class {
    const char *lane;
    std::vector<const char *> teams;
    const char *urgency;
    int least, most; // tasks
    double cores, mem_gb, run_s, pull_gb, a_minute;
    int at_start;
  };
  void
  submit (const Class &kind)
  {
    g_autofree char *ref = g_strdup_printf ("req-%06d", next_ref++);
    Job &job = world.jobs[ref];
    job.ref = ref;
    job.lane = kind.lane;
    job.team = kind.teams[(size_t) next_ref % kind.teams.size ()];
    job.urgency = kind.urgency;
    job.pieces = g_rand_int_range (random_source (), kind.least, kind.most + 1);
    job.cores = kind.cores;
    job.mem_gb = kind.mem_gb;
    job.bundle = std::string ("img-") + kind.lane;
    job.pull_gb = kind.pull_gb;
    job.guess_s = job.run_s = kind.run_s;
    job.due_s = 3 * kind.run_s + 10;
    users.push_back (std::make_unique<User> (world, balancer, ref));
    users.back ()->submit ();
  }
  void
  arrive (const Class &kind, Seconds until)
  {
    if (now () > until)
      return;
    submit (kind);
    after (60 / kind.a_minute * uniform (0.7, 1.3), [this, &kind, until] { arrive (kind, until); });
  }
  const std::vector<Class> classes = {
    { "waitlist-rank", { "centre-liaison", "family-support" }, "normal", 2, 10, 8, 27, 70, 4, 3.5, 1 },
    { "offer-letters", { "board-reporting", "platform-crew" }, "high", 10, 51, 1, 2.4, 18, 1.2, 9.9, 4 },
    { "attendance-rollup", { "enrolment-office", "finance-desk" }, "normal", 4, 27, 4, 11, 50, 1.5, 3.7, 2 },
  };
  int
  play ()
  {
    for (size_t i = 0; i < 3; i++)
      controllers.start (i);
    for (int i = 0; i < 9; i++)
      cloud.rent (deployment.zones[(size_t) i % 2], false, 0);
    if (controllers.leader () < 0)
      return 2;
    for (const Class &kind : classes) {
      for (int i = 0; i < kind.at_start; i++)
        submit (kind);
      after (uniform (1, 6), [this, &kind] { arrive (kind, 60); });
    }
    run_for (kRefuseAt);
    int leader = controllers.leader ();
    if (leader < 0 || leader != holder)
      return 2;
    if (trouble) {
      record ("a packet filter between hearth-%d and the others: connections are refused", leader);
      controllers.cut_peers ((size_t) leader, 1);
    }
    run_for (kRefuseFor);
    if (trouble) {
      record ("the filter is gone");
      controllers.cut_peers ((size_t) leader, 0);
    }
    run_for (10);
    record ("%d times a controller took the lease while it lasted; then the former holder was obeyed %d times, "
            "with %d orders, %d of them starts; %d starts in all",
            early_claims, stale_answers, stale_orders, stale_starts, world.starts);
    for (const Broken &each : world.broken)
      record ("also seen: %s: %s", each.rule.c_str (), each.what.c_str ());
    return early_claims > 0 && stale_answers > 0 ? 1 : 0;
  }
};

} // namespace

int
main (int argc, char **argv)
{
  if (argc < 3)
    return 2;
  const char *wanted = g_getenv ("TROUBLE");
  record_file () = fopen (argv[1], "w");
  setvbuf (record_file (), nullptr, _IOLBF, 0);
  epoch ();
  static Run *run = new Run (argv[2], g_strcmp0 (wanted, "0") != 0);
  int code = run->play ();
  run->controllers.end_all ();
  record ("exit %d", code);
  fclose (record_file ());
  _exit (code);
}
