// Case: controllers refuse each other's connections. A controller that does not lead learns from the leader's messages
// alone whether a job runs.
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
  Site site;
  site.peer_proxies = true;
  World world (site, program, folder);
  for (auto &[pool, machines] : world.cloud.capacity)
    machines = 0;
  for (int i = 0; i < 3; i++)
    world.cloud.add ("a", false, 0);
  world.controllers.start_all ();
  int leader = world.controllers.wait_for_leader (20);
  if (leader < 0)
    return 2;
  int follower = (leader + 1) % site.size;
  record ("controller %d leads", leader);
  run_for (20);
  if (trouble) {
    record ("network: connections between controllers are refused");
    for (auto &proxy : world.controllers.proxies)
      proxy->refuse ();
  }
  JobSpec job;
  job.ref = "req-100000";
  job.run_s = job.guess_s = 60;
  std::string task = job.ref + "/0";
  if (world.submit (job, follower) != 201)
    return 2;
  run_for (10, [&] { return !world.rules.on[task].empty (); });
  if (world.rules.on[task].empty ())
    return 2;
  double began = now_s ();
  // 3 s of lag are allowed; two more are left for the clocks of this test.
  run_for (5);
  int late = 0, answered = 0;
  while (now_s () - began < 30) {
    double lag = now_s () - began;
    std::string standing = world.poll (job.ref, follower);
    answered += standing == "running" || standing == "queued";
    if (standing == "queued" && !world.rules.on[task].empty ()) {
      late++;
      record ("the task has run for %.1f s", lag);
    }
    run_for (5);
  }
  if (answered == 0)
    return 2;
  if (late > 0)
    violated ("stale_state", job.ref + " is called queued " + std::to_string (late) + " times of "
                                 + std::to_string (answered) + ", 5 to 30 s after its task began to run");
  for (const std::string &line : violations ())
    printf ("%s\n", line.c_str ());
  return violations ().empty () ? 0 : 1;
}
