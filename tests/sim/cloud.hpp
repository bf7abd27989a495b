// Stand-in for the cloud provider, which launches, terminates and lists machines.
//
// The machines are in World::machines, where terminated machines remain.
#pragma once
#include "clock.hpp"
#include "handles.hpp"

#include <map>
#include <string>
#include <vector>

namespace sim {

class World;

class Cloud {
public:
  explicit Cloud (World &world) : world_ (world) {}

  // Executes a call at once. `late`: the call was delayed; used only for the counters.
  FtCloudResult execute (const FtCloudCall &call, bool late);
  // Adds the names of the machines that the call has launched to the call, unless it has names already.
  void record_launched_names (FtCloudCall &call) const;
  // The machines as an array of FtListedMachine. Terminated machines may still be listed.
  Array list ();
  // The number of machines that are not terminated.
  guint alive_machines () const;

  bool down = false;          // the cloud refuses all calls and answers no list
  guint capacity = 14;        // the largest number of machines alive at a time
  guint launched = 0;         // number of machines launched so far
  double least_boot_s = 2;    // shortest boot time
  double longest_boot_s = 12; // longest boot time of a machine that does not boot slowly

private:
  void terminate (const GPtrArray *names);
  FtCloudResult launch (const FtCloudCall &call, bool late);
  void launch_machine (const FtCloudCall &call, const std::string &name);

  World &world_;
  // The names of the machines launched for each idempotency key, which identifies a launch call. A repeated call
  // with the same key returns the same machines, and launches only those that are still missing.
  std::map<std::string, std::vector<std::string> > launched_names_;
};

} // namespace sim
