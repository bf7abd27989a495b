// Case 1: all controllers crash while users ask about some hundred jobs, among them pipelines. Does a controller that is
// back end by itself?
#include "world.hpp"

using namespace review;

namespace {

constexpr double kJobsPerS = 10;        // arrivals of form-validation (kit/more)
constexpr double kArrivalsFor = 80;     // as long as kit/more says
constexpr double kPipelinesPerS = 0.13; // arrivals of enrolment-run (kit/change)
constexpr double kCrashAt = 81;
constexpr double kEnd = 114;

Site
site ()
{
  Site site; // Prairie Cradle, BRIEF
  site.teams = { { "enrolment-office", 24, 80 }, { "finance-desk", 80, 256 }, { "centre-liaison", 64, 216 },
                 { "family-support", 40, 152 },  { "board-reporting", 40, 80 }, { "platform-crew", 32, 104 },
                 { "plainsview-research", 0, 0 } };
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
    // A controller that ends is back about 6 s later, whatever ended it.
    controllers.ended = [this] (size_t i, int) { restart_later (i); };
  }
  void
  restart_later (size_t i)
  {
    after (deployment.restart_s * uniform (0.9, 1.1), [this, i] { controllers.start (i); });
  }
  Job &
  new_job (const char *lane, const char *team, const char *urgency)
  {
    g_autofree char *ref = g_strdup_printf ("req-%06d", next_ref++);
    Job &job = world.jobs[ref];
    job.ref = ref;
    job.lane = lane;
    job.team = team;
    job.urgency = urgency;
    return job;
  }
  User &
  new_user (const Job &job)
  {
    users.push_back (std::make_unique<User> (world, balancer, job.ref));
    return *users.back ();
  }
  void
  submit_check ()
  {
    Job &job = new_job ("form-validation", "plainsview-research", "best_effort");
    job.cores = 0.25;
    job.mem_gb = 0.9;
    job.pull_gb = 0.5;
    job.guess_s = 150;
    job.run_s = uniform (120, 195);
    new_user (job).submit ();
  }
  struct Stage {
    int pieces;
    double cores, mem_gb, run_s;
  };
  // enrolment-run: intake-import, then address-match (2 or 3) and subsidy-check, then seat-assign. Each job is submitted
  // as soon as those that it needs are accepted.
  void
  submit_pipeline ()
  {
    Job &intake = new_job ("intake-import", "finance-desk", "best_effort");
    shape (intake, { 6, 1, 3.2, 15 }, {});
    std::string first = intake.ref;
    auto *middle = new std::vector<std::string>;
    auto *accepted = new int (0);
    User &user = new_user (intake);
    user.on_accepted = [this, first, middle, accepted] {
      int matches = uniform (0, 1) < 0.5 ? 2 : 3;
      for (int i = 0; i <= matches; i++) {
        bool check = i == matches;
        Job &job = new_job (check ? "subsidy-check" : "address-match", "finance-desk", check ? "normal" : "best_effort");
        shape (job, check ? Stage{ 3, 2, 6.4, 20 } : Stage{ 16, 1, 3.2, 25 },
               { first });
        middle->push_back (job.ref);
      }
      for (const std::string &ref : *middle) {
        User &each = new_user (world.jobs.at (ref));
        each.on_accepted = [this, middle, accepted] {
          if (++*accepted < (int) middle->size ())
            return;
          Job &last = new_job ("seat-assign", "finance-desk", "high");
          shape (last, { 3, 1, 3.2, 8 }, *middle);
          last.due_s = 150;
          new_user (last).submit ();
        };
        each.submit ();
      }
    };
    user.submit ();
  }
  static void
  shape (Job &job, const Stage &stage, std::vector<std::string> awaits)
  {
    job.pieces = stage.pieces;
    job.cores = stage.cores;
    job.mem_gb = stage.mem_gb;
    job.guess_s = job.run_s = stage.run_s;
    job.bundle = "img-" + job.lane;
    job.pull_gb = 1;
    job.awaits = std::move (awaits);
  }
  void
  arrive (Seconds until, double rate, std::function<void ()> submit)
  {
    if (now () > until)
      return;
    submit ();
    after (uniform (0.5, 1.5) / rate, [this, until, rate, submit] { arrive (until, rate, submit); });
  }
  int
  play ()
  {
    for (size_t i = 0; i < 3; i++)
      controllers.start (i);
    for (int i = 0; i < 9; i++)
      cloud.rent (deployment.zones[(size_t) i % 2], false, 0);
    if (controllers.leader () < 0) {
      record ("no leader");
      return 2;
    }
    Seconds begun = now ();
    record ("leads; users begin");
    after (0, [this, begun] { arrive (begun + kArrivalsFor, kJobsPerS, [this] { submit_check (); }); });
    after (1, [this, begun] { arrive (begun + kArrivalsFor, kPipelinesPerS, [this] { submit_pipeline (); }); });
    run_for (kCrashAt);
    int open = 0, pipelines = 0;
    for (auto &user : users)
      if (world.jobs.at (user->ref).accepted && !user->over) {
        open++;
        pipelines += !world.jobs.at (user->ref).awaits.empty ();
      }
    record ("%d open jobs, %d of them wait for others or did", open, pipelines);
    int before = controllers.unexpected_ends;
    if (open < 300)
      return 2;
    if (trouble)
      for (size_t i = 0; i < 3; i++) {
        controllers.kill (i);
        restart_later (i);
      }
    Seconds limit = kEnd - now ();
    // After the first end the run goes on for 10 s, to record what follows.
    if (run_until (limit, [this, before] { return controllers.unexpected_ends > before; }))
      run_for (std::min (10.0, kEnd - now ()));
    int polls = 0, failed = 0;
    for (auto &user : users) {
      polls += user->polls;
      failed += user->polls_failed;
    }
    record ("%zu jobs, %d polls, %d of them without 200; %d starts, %d completions; the state service got %d requests "
            "and answered 429 to %d",
            world.jobs.size (), polls, failed, world.starts, world.completions, (int) state.requests,
            (int) state.throttled);
    for (const Broken &each : world.broken)
      record ("also seen: %s: %s", each.rule.c_str (), each.what.c_str ());
    record ("%d controllers ended by themselves", controllers.unexpected_ends);
    return controllers.unexpected_ends > 0 ? 1 : 0;
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
  int code;
  {
    static Run *run = new Run (argv[2], g_strcmp0 (wanted, "0") != 0);
    code = run->play ();
    run->controllers.end_all ();
  }
  record ("exit %d", code);
  fclose (record_file ());
  _exit (code);
}
