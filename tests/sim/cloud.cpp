#include "cloud.hpp"

#include "worker.hpp"
#include "world.hpp"

namespace sim {

// The probability that a terminated machine is left out of a list.
static constexpr double kListOmitsTerminated = 0.7;
// Boot time of a slow machine, as a multiple of a usual boot time.
static constexpr double kSlowBootFactor = 3;

FtCloudResult
Cloud::execute (const FtCloudCall &call, bool late)
{
  if (down)
    return FT_CLOUD_REFUSED;
  if (call.op == FT_CLOUD_SCALE_OUT)
    return launch (call, late);
  terminate (call.names);
  return FT_CLOUD_OK;
}

void
Cloud::terminate (const GPtrArray *names)
{
  for (guint i = 0; i < names->len; i++) {
    auto machine = world_.machines.find ((const char *) g_ptr_array_index (names, i));
    if (machine != world_.machines.end ())
      machine->second->die ();
  }
}

FtCloudResult
Cloud::launch (const FtCloudCall &call, bool late)
{
  auto &names = launched_names_[call.idempotency_key];
  for (guint i = 0; names.size () < call.count && i < call.count && alive_machines () < capacity; i++) {
    g_autofree char *name = g_strdup_printf ("n-%06u", launched++);
    names.push_back (name);
    world_.counters.late_launches += late;
    launch_machine (call, name);
  }
  if (!names.empty ())
    return FT_CLOUD_OK;
  launched_names_.erase (call.idempotency_key);
  return FT_CLOUD_REFUSED;
}

void
Cloud::launch_machine (const FtCloudCall &call, const std::string &name)
{
  auto worker = std::make_shared<Worker> (world_, name, call.zone, call.spot);
  world_.machines[name] = worker;
  if (world_.chance (world_.faults.boot_failures))
    return; // the machine never boots and is listed as booting until it is terminated
  double slowness = world_.chance (world_.faults.boot_failures) ? kSlowBootFactor : 1;
  Time boot = (Time) (world_.uniform (least_boot_s, longest_boot_s) * slowness * kSecond);
  world_.after (boot, [worker] {
    if (worker->alive)
      worker->boot ();
  });
}

void
Cloud::record_launched_names (FtCloudCall &call) const
{
  auto launched = launched_names_.find (call.idempotency_key != nullptr ? call.idempotency_key : "");
  if (call.op != FT_CLOUD_SCALE_OUT || call.names->len > 0 || launched == launched_names_.end ())
    return;
  for (const std::string &name : launched->second)
    g_ptr_array_add (call.names, g_strdup (name.c_str ()));
}

Array
Cloud::list ()
{
  Array machines = adopt (ft_listed_new ());
  for (const auto &[name, worker] : world_.machines) {
    if (!worker->alive && world_.chance (kListOmitsTerminated))
      continue;
    FtListedMachine entry = { g_strdup (name.c_str ()),
                              nullptr,
                              g_strdup ("std"),
                              g_strdup (worker->zone.c_str ()),
                              worker->spot,
                              worker->up ? FT_LISTED_RUNNING : FT_LISTED_BOOTING,
                              1.0 };
    g_array_append_val (machines.get (), entry);
  }
  return machines;
}

guint
Cloud::alive_machines () const
{
  guint count = 0;
  for (const auto &[name, worker] : world_.machines)
    count += worker->alive;
  return count;
}

} // namespace sim
