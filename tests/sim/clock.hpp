// Simulated time and the queue of what is still to happen in it.
#pragma once
#include <glib.h>

#include <functional>
#include <queue>
#include <vector>

namespace sim {

using Time = gint64; // microseconds of true time since the start of the run
constexpr Time kSecond = 1000000;

// Actions ordered by their time. Those of the same time run in the order in which
// they were added, so that a run depends on nothing but its seed.
class EventQueue {
public:
  using Action = std::function<void ()>;
  struct Event {
    Time when;
    guint64 order;
    Action action;
    bool
    operator> (const Event &other) const
    {
      return when != other.when ? when > other.when : order > other.order;
    }
  };

  // Times must not be before that of the last event taken.
  void
  add (Time when, Action action)
  {
    events_.push ({ when, next_order_++, std::move (action) });
  }

  // Whether an action is due by that time.
  bool
  due (Time end) const
  {
    return !events_.empty () && events_.top ().when <= end;
  }

  // Removes and returns the first event; the queue must not be empty.
  Event
  take ()
  {
    Event event = events_.top ();
    events_.pop ();
    return event;
  }

  // Drops all actions that have not run, and what they hold.
  void
  clear ()
  {
    while (!events_.empty ())
      events_.pop ();
  }

private:
  std::priority_queue<Event, std::vector<Event>, std::greater<Event> > events_;
  guint64 next_order_ = 0;
};

} // namespace sim
