// Owning handles for the C objects that the simulation passes around.
//
// Simulated messages are closures that may be delivered late, twice or never. Most objects
// are therefore shared: the last closure that holds a handle frees the object.
#pragma once
#include <glib.h>
#include <jansson.h>

#include <memory>

extern "C" {
#include "core/scheduler.h"
#include "core/types.h"
}

namespace sim {

using Json = std::shared_ptr<json_t>;
using Array = std::shared_ptr<GArray>;
using PointerArray = std::shared_ptr<GPtrArray>;
using Heartbeat = std::shared_ptr<FtWorkerHeartbeat>;
using DirectMessage = std::shared_ptr<FtDirectRequest>; // direct commands on their way to a worker

// Each adopt() takes over the caller's reference; a null pointer gives an empty handle.

inline Json
adopt (json_t *value)
{
  return Json (value, json_decref);
}

inline Array
adopt (GArray *array)
{
  return Array (array, [] (GArray *owned) {
    if (owned != nullptr)
      g_array_unref (owned);
  });
}

inline PointerArray
adopt (GPtrArray *array)
{
  return PointerArray (array, g_ptr_array_unref);
}

inline Heartbeat
adopt (FtWorkerHeartbeat *heartbeat)
{
  return Heartbeat (heartbeat, ft_worker_heartbeat_free);
}

} // namespace sim
