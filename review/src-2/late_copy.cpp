// Case: a late copy of a message to /commands. A task is started directly on machine 1, is preempted there and runs on
// machine 2. The controllers clear the first attempt on machine 1. Then a copy of the first message arrives.
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
  Site site; // Prairie Cradle: reports every 2.5 s, worker lease 14 s, cancellation 34 s
  site.zones = { "a", "b" };
  site.node_zones = { "a", "a", "b" };
  site.teams = { { "red", 64, 80 }, { "blue", 4, 80 } };
  World world (site, program, folder);
  for (auto &[pool, machines] : world.cloud.capacity)
    machines = 0; // no other machine can be rented
  auto first = world.cloud.add ("a", false, 0), second = world.cloud.add ("b", false, 0);
  world.controllers.start_all ();
  int leader = world.controllers.wait_for_leader (20);
  if (leader < 0)
    return 2;
  record ("controller %d leads", leader);
  run_for (5);
  auto job = [] (const char *ref, const char *team, const char *urgency, const char *yard, double cores, double run_s) {
    JobSpec spec;
    spec.ref = ref;
    spec.team = team;
    spec.urgency = urgency;
    spec.yard = yard;
    spec.cores = cores;
    spec.run_s = spec.guess_s = run_s;
    return spec;
  };
  std::string task = "req-300000/0";
  json_t *copy = nullptr; // the message that carried the first start of the task
  first->on_orders = [&] (const json_t *body) {
    size_t i;
    json_t *order;
    json_array_foreach (json_object_get (body, "orders"), i, order)
      if (text (order, "verb") == "start" && text (order, "piece") == task && copy == nullptr)
        copy = json_deep_copy (body);
  };
  // Machine 1 always has work, so that it is not returned. Machine 2 is full at first.
  if (world.submit (job ("req-100000", "red", "high", "a", 2, 300), 0) != 201
      || world.submit (job ("req-200000", "red", "high", "b", 16, 15), 0) != 201)
    return 2;
  run_for (10, [&] { return first->runs ("req-100000/0") && second->runs ("req-200000/0"); });
  if (world.submit (job ("req-300000", "blue", "best_effort", "", 12, 150), 0) != 201)
    return 2;
  run_for (10, [&] { return first->runs (task); });
  double started = now_s ();
  if (copy == nullptr) {
    record ("the task was not started by /commands");
    return 2;
  }
  // Urgent work for machine 1 preempts the task.
  if (world.submit (job ("req-400000", "red", "high", "a", 12, 15), 0) != 201)
    return 2;
  run_for (40, [&] { return second->runs (task); });
  if (!second->runs (task)) {
    record ("the task did not move to machine 2");
    return 2;
  }
  // A controller that does not lead ends and is back after 6 s; a late copy of an old message follows.
  int other = (leader + 1) % site.size;
  if (trouble) {
    world.controllers.kill (other);
    after (6, [&] { world.controllers.start (other); });
  }
  run_for (70 - (now_s () - started));
  if (!second->runs (task) || first->dead)
    return 2;
  if (trouble) {
    record ("network: a copy of the message with the start of %s arrives at %s, 70 s after the message", task.c_str (),
            first->name.c_str ());
    send ("POST", first->addr (), "/commands", json_incref (copy), 4, [&] (Reply reply) {
      record ("machine %s: answers the copy with %u", first->name.c_str (), reply.status);
    });
  }
  run_for (8);
  for (const std::string &line : violations ())
    printf ("%s\n", line.c_str ());
  return violations ().empty () ? 0 : 1;
}
