// Case 2: some direct commands are held up for seconds while one-task jobs come and some are cancelled at once. Is there,
// after that, a machine with room on which a job that waits for it is never started?
#include "world.hpp"

using namespace review;

namespace {

constexpr double kTroubleAt = 1; // after the first answer of a leader
constexpr double kTroubleFor = 16;
constexpr double kShare = 0.5;                     // of the direct commands
constexpr double kLateLeast = 5.2, kLateMost = 7; // kit/more/hunt: 2 to 16 s late
constexpr int kProbes = 20;                        // of one core each; two machines have 32
constexpr double kWait = 90; // kit/more/hunt: "no job is left waiting for 90 s"
const char *const kZone = "calgary"; // 2 ordinary machines at the start, and no more to be had

Site
site ()
{
  Site site; // Prairie Cradle, BRIEF and kit/sites
  site.zones = { "regina-core", "saskatoon", "winnipeg", "calgary" };
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

  Run (std::string folder_, bool trouble_)
      : folder (std::move (folder_)), controllers (deployment, folder, 3), state (deployment, 3),
        world (deployment, controllers), cloud (world, 28), balancer (controllers), trouble (trouble_)
  {
    controllers.write_settings (state, cloud.addresses ());
    // kit/sites/prairiecradle-regina.toml, [[capacity]]
    cloud.ordinary = { { "regina-core", 3 }, { "saskatoon", 3 }, { "winnipeg", 3 }, { "calgary", 2 } };
    cloud.loaners = { { "regina-core", 4 }, { "saskatoon", 4 }, { "winnipeg", 5 }, { "calgary", 4 } };
  }
  User &
  submit (const char *lane, double cores, double mem_gb, double run_s)
  {
    g_autofree char *ref = g_strdup_printf ("req-%06d", next_ref++);
    Job &job = world.jobs[ref];
    job.ref = ref;
    job.lane = lane;
    job.team = "platform-crew";
    job.urgency = "high";
    job.cores = cores;
    job.mem_gb = mem_gb;
    job.bundle = std::string ("img-") + lane;
    job.pull_gb = 0.3;
    job.guess_s = job.run_s = run_s;
    job.yard = kZone;
    job.loaners = false;
    users.push_back (std::make_unique<User> (world, balancer, ref));
    users.back ()->submit ();
    return *users.back ();
  }
  // One-task jobs, four a second, here eight every two seconds; a quarter of them cancelled, at once.
  void
  arrive (Seconds until)
  {
    if (now () > until)
      return;
    for (int i = 0; i < 8; i++) {
      User &user = submit ("form-validation", 0.25, 0.9, uniform (12, 24));
      if (i % 4 == 0)
        user.on_accepted = [&user] { after (uniform (0.05, 0.2), [&user] { user.withdraw (); }); };
    }
    after (2, [this, until] { arrive (until); });
  }
  void
  set_late (double share)
  {
    for (auto &[name, worker] : world.workers) {
      worker->late_commands = share;
      worker->late_least = kLateLeast;
      worker->late_most = kLateMost;
    }
  }
  // The machines on which the job may run and that have room for it.
  int
  with_room (const Job &job) const
  {
    int count = 0;
    for (const auto &[name, worker] : world.workers) {
      double cores = deployment.cores, mem = deployment.mem_gb;
      for (const Worker::Task &task : worker->tasks)
        if (task.standing != "exited") {
          cores -= world.jobs.at (task.ref).cores;
          mem -= world.jobs.at (task.ref).mem_gb;
        }
      count += worker->alive && !worker->spot && worker->zone == job.yard && cores >= job.cores && mem >= job.mem_gb;
    }
    return count;
  }
  int
  play ()
  {
    for (size_t i = 0; i < 3; i++)
      controllers.start (i);
    for (const char *zone : { "regina-core", "regina-core", "saskatoon", "saskatoon", "winnipeg", "winnipeg", "winnipeg",
                              "calgary", "calgary" })
      cloud.rent (zone, false, 0);
    if (controllers.leader () < 0)
      return 2;
    Seconds begun = now ();
    after (0.5, [this, begun] { arrive (begun + kTroubleAt + kTroubleFor); });
    run_for (kTroubleAt);
    if (trouble) {
      record ("direct commands are held up from now on");
      set_late (kShare);
    }
    run_for (kTroubleFor);
    set_late (0);
    record ("no more commands are held up; the last one is carried out within %.0f s", kLateMost);
    run_for (kLateMost + 0.5);
    // Troubles are over. What still waits or comes now fits on the two machines of the zone.
    std::vector<std::string> probes;
    for (int i = 0; i < kProbes; i++)
      probes.push_back (submit ("offer-letters", 1, 2.4, 130).ref);
    record ("troubles are over; %d jobs of one task, %s to %s, ask for a machine of %s", kProbes, probes.front ().c_str (),
            probes.back ().c_str (), kZone);
    // For how long some have waited while a machine had room for them and the team was under its limit.
    Seconds waiting_since = -1, waited = 0;
    int left = 0;
    for (Seconds end = now () + kWait + 3; now () < end && waited <= kWait;) {
      run_for (0.5);
      left = 0;
      for (const std::string &ref : probes)
        left += world.jobs.at (ref).accepted && world.jobs.at (ref).finished.empty () && world.on[ref + "/0"].empty ();
      bool room = with_room (world.jobs.at (probes[0])) > 0
                  && world.team_use["platform-crew"] + 1 <= world.limit_of ("platform-crew");
      if (!room || left == 0)
        waiting_since = -1;
      else if (waiting_since < 0)
        waiting_since = now ();
      waited = waiting_since < 0 ? 0 : now () - waiting_since;
      if (left == 0 && now () > end - kWait + 5)
        break;
    }
    for (const auto &[name, worker] : world.workers)
      if (worker->zone == kZone)
        record ("%s: %s, %zu tasks in its report", name.c_str (), worker->alive ? "up" : "gone", worker->tasks.size ());
    record ("%d of %d jobs wait, after %.1f s in which a machine of %s had room and their team was under its limit", left,
            kProbes, waited, kZone);
    for (const Broken &each : world.broken)
      record ("also seen: %s: %s", each.rule.c_str (), each.what.c_str ());
    return left > 0 && waited > kWait ? 1 : 0;
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
