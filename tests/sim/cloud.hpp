// Stand-in for the cloud provider: launches and terminates machines, and lists them.
//
// The machines themselves are in World::machines; a terminated one stays there, dead.
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

  // Executes a call at once. `late`: it is one that was held back; for the counters.
  FtCloudResult execute (const FtCloudCall &call, bool late);
  // Writes the names of the machines that the call has launched into it, unless it has them.
  void name_launched (FtCloudCall &call) const;
  // The machines as FtListedMachine; one terminated may still be among them.
  Array list ();
  // Machines that are not terminated.
  guint alive_machines () const;

  guint capacity = 14;                          // machines that it has at a time
  guint launched = 0;                           // machines, ever
  double least_boot_s = 2, longest_boot_s = 12; // until a machine is up

private:
  void terminate (const GPtrArray *names);
  FtCloudResult launch (const FtCloudCall &call, bool late);
  void launch_machine (const FtCloudCall &call, const std::string &name);

  World &world_;
  // A booking is idempotent: repeated, it gives the machines that it has given.
  std::map<std::string, std::vector<std::string> > bookings_;
};

} // namespace sim
