// The leader's requests to the cloud.
#include "node.hpp"

#include "cloud.hpp"
#include "world.hpp"

namespace sim {

// Time after which a call without an answer counts as unanswered.
static constexpr Time kCallTimeout = 5 * kSecond;
// Interval between two requests for the list of machines.
static constexpr Time kListInterval = 4 * kSecond;

// Sends the scheduler's next cloud call. At most one call is in flight.
void
Node::call_cloud ()
{
  if (calling_cloud_)
    return;
  FtCloudCall *made = ft_scheduler_next_cloud (scheduler_.get (), clock ());
  if (made == nullptr)
    return;
  calling_cloud_ = true;
  std::shared_ptr<FtCloudCall> call (made, ft_cloud_call_free);
  auto done = std::make_shared<bool> (false);
  auto finish = [this, call, term = term_, done] (FtCloudResult result) {
    if (*done || term != term_)
      return;
    *done = true;
    calling_cloud_ = false;
    ft_scheduler_cloud_done (scheduler_.get (), call.get (), result, clock ());
    run_leader ();
  };
  World &world = world_;
  Time late = world.chance (world.faults.late_cloud_calls) ? world.seconds_between (5, 40) : 0;
  auto execute = [&world, from = name (), call, finish, late] {
    FtCloudResult result = world.cloud.execute (*call, late > 0);
    world.deliver ("cloud", from, [&world, call, finish, result] {
      if (result == FT_CLOUD_OK)
        world.cloud.record_launched_names (*call);
      finish (result);
    });
  };
  world.after (late, [&world, from = name (), execute] { world.deliver (from, "cloud", execute); });
  schedule (kCallTimeout, [finish] { finish (FT_CLOUD_UNANSWERED); });
}

void
Node::list_machines ()
{
  if (clock () < next_list_at_ || !ft_scheduler_is_loaded (scheduler_.get ()))
    return;
  next_list_at_ = clock () + kListInterval;
  if (world_.is_cut (name (), "cloud") || world_.cloud.down)
    return;
  Array list = world_.cloud.list ();
  // The list shows the machines as of the request, and arrives 0.5 to 2 times the list lag later.
  schedule_in_term ((Time) (world_.uniform (0.5, 2) * world_.settings.list_lag_s * kSecond), [this, list] {
    if (scheduler_ != nullptr)
      ft_scheduler_machines_listed (scheduler_.get (), list.get (), clock ());
  });
}

} // namespace sim
