// Case: more open tasks than the leader's memory holds. The controllers refuse submissions above a million open tasks
// only where the leader itself is asked; the others accept without limit.
#include "world.hpp"

using namespace review;

int
main (int argc, char **argv)
{
  if (argc != 4)
    return 2;
  std::string folder = argv[1], program = argv[2];
  bool trouble = g_strcmp0 (argv[3], "0") != 0;
  record_file () = fopen ((folder + "/record.txt").c_str (), "w");
  // Prairie Cradle: 104 MB for each controller, back 6 s after an end.
  Site site;
  site.teams = { { "enrolment-office", 24, 80 }, { "finance-desk", 80, 256 } };
  World world (site, program, folder);
  Controllers &controllers = world.controllers;
  for (auto &[pool, machines] : world.cloud.capacity)
    machines = 0;
  for (int i = 0; i < 7; i++)
    world.cloud.add ("a", false, 0);
  // The platform: a process over its memory is killed and started again.
  struct Platform {
    World &world;
    double limit;
    int kills = 0;
  } platform = { world, site.ram_mb * 1024 * 1024 };
  g_timeout_add (
      50,
      [] (gpointer data) -> gboolean {
        auto self = (Platform *) data;
        for (int i = 0; i < self->world.site.size; i++) {
          double held = self->world.controllers.memory (i);
          if (held <= self->limit)
            continue;
          record ("platform: controller %d holds %.1f MiB, more than %.0f MiB", i, held / 1048576,
                  self->limit / 1048576);
          self->kills++;
          self->world.controllers.kill (i);
          after (6, [self, i] { self->world.controllers.start (i); });
        }
        return G_SOURCE_CONTINUE;
      },
      &platform);
  controllers.start_all ();
  if (controllers.wait_for_leader (20) < 0)
    return 2;
  run_for (4);
  // The users' jobs, through a load balancer that takes one controller after the other.
  int jobs = trouble ? 40 : 10, node = 0, accepted = 0;
  for (int k = 0; k < jobs; k++) {
    JobSpec spec;
    spec.ref = "req-" + std::to_string (100000 + k);
    spec.team = "enrolment-office";
    spec.urgency = "high";
    spec.pieces = 100000;
    spec.cores = 1;
    spec.mem_gb = 2.4;
    spec.run_s = spec.guess_s = 18;
    world.rules.jobs[spec.ref].spec = spec;
    for (int tries = 0; tries < 6; tries++) {
      node = (node + 1) % site.size;
      double sent = now_s ();
      auto answer = call ("POST", controllers.front[(size_t) node], "/work", submission (spec));
      record ("user: submits %s with %d tasks to controller %d: %u", spec.ref.c_str (), spec.pieces, node,
              answer->status);
      world.rules.told (spec.ref, answer->status, text (answer->body, "standing"), true, sent, node);
      if (answer->status == 201 || answer->status == 200) {
        accepted++;
        break;
      }
      run_for (1);
    }
  }
  record ("%d jobs accepted", accepted);
  run_for (10);
  // A small job of another team, which has room on the machines.
  JobSpec small;
  small.ref = "req-900000";
  small.team = "finance-desk";
  small.urgency = "prod";
  small.cores = 1;
  small.mem_gb = 1;
  small.run_s = small.guess_s = 2;
  world.rules.jobs[small.ref].spec = small;
  bool known = false;
  for (int tries = 0; tries < 30 && !known; tries++) {
    node = (node + 1) % site.size;
    double sent = now_s ();
    auto answer = call ("POST", controllers.front[(size_t) node], "/work", submission (small));
    record ("user: submits %s to controller %d: %u", small.ref.c_str (), node, answer->status);
    world.rules.told (small.ref, answer->status, text (answer->body, "standing"), true, sent, node);
    known = answer->status == 200 || answer->status == 201;
    if (!known)
      run_for (1);
  }
  if (!known)
    return 2;
  int kills_before = platform.kills;
  JobTruth &job = world.rules.jobs[small.ref];
  run_for (45, [&] { return !job.done.empty (); });
  record ("45 s after its acceptance, or earlier if it is done: %zu of 1 task of %s done; controllers killed for their memory: %d, of these %d "
          "since the acceptance",
          job.done.size (), small.ref.c_str (), platform.kills, platform.kills - kills_before);
  if (job.done.empty () && platform.kills > 0)
    violated ("accepted_runs", small.ref + " was accepted and has not run in 45 s; "
                                   + std::to_string (platform.kills) + " times a controller was killed for its memory");
  for (const std::string &line : violations ())
    printf ("%s\n", line.c_str ());
  return violations ().empty () ? 0 : 1;
}
