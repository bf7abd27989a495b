// Case: the leader is cut off from the state service, the workers and the other controllers, but not from the cloud.
// Another controller leads. The former leader returns the machines that its successor uses.
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
  Site site; // Prairie Cradle
  site.peer_proxies = true;
  World world (site, program, folder);
  for (auto &[pool, machines] : world.cloud.capacity)
    machines = 0;
  for (int i = 0; i < 6; i++)
    world.cloud.add ("a", false, 0);
  world.store.on_commit = [] (int by, const json_t *txn) {
    if (text (json_array_get (json_object_get (txn, "apply"), 0), "write") == "l/fence")
      record ("state service: controller %d takes the lease", by);
  };
  world.controllers.start_all ();
  int leader = world.controllers.wait_for_leader (20);
  if (leader < 0)
    return 2;
  record ("controller %d leads", leader);
  run_for (4);
  for (int k = 0; k < 6; k++) {
    JobSpec job;
    job.ref = "req-" + std::to_string (100000 + k);
    job.pieces = 3;
    job.run_s = job.guess_s = 100;
    if (world.submit (job, k % site.size) != 201)
      return 2;
  }
  run_for (10);
  // Who gives commands that the workers obey: the controller whose token the workers have seen.
  guint64 first_token = 0;
  for (auto &machine : world.cloud.alive ())
    first_token = std::max (first_token, machine->token);
  auto successor_commands = [&] (const std::string &name) { return world.cloud.machines[name]->token > first_token; };
  int taken = 0, lost_tasks = 0;
  world.cloud.on_return = [&] (int by, const std::string &name) {
    if (by != leader || world.cloud.machines[name] == nullptr || world.cloud.machines[name]->dead
        || !successor_commands (name))
      return;
    taken++;
    for (const Worker::Task &task : world.cloud.machines[name]->tasks)
      lost_tasks += task.on;
    record ("controller %d returns %s, which has the token %llu of its successor", by, name.c_str (),
            (unsigned long long) world.cloud.machines[name]->token);
  };
  if (trouble) {
    record ("network: controller %d loses the state service and the workers; controllers refuse each other", leader);
    world.store.links[(size_t) leader] = Link::Hold;
    for (auto &proxy : world.controllers.proxies)
      proxy->refuse ();
    for (auto &machine : world.cloud.alive ()) {
      machine->lost_token = first_token;
      machine->lost_node = leader;
    }
  }
  run_for (38);
  if (trouble) {
    record ("network: all is reachable again");
    for (auto &proxy : world.controllers.proxies)
      proxy->listen ();
    world.store.heal (leader);
    for (auto &machine : world.cloud.alive ())
      machine->lost_node = -1;
  }
  run_for (5);
  if (taken > 0)
    violated ("stale_leader", "the former leader returned " + std::to_string (taken)
                                  + " machines that its successor commands, with " + std::to_string (lost_tasks)
                                  + " tasks on them");
  for (const std::string &line : violations ())
    printf ("%s\n", line.c_str ());
  return violations ().empty () ? 0 : 1;
}
