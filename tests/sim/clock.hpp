// Simulated time, and the queue of the actions that are scheduled in it.
#pragma once
#include <glib.h>

#include <functional>
#include <queue>
#include <vector>

namespace sim {

using Time = gint64; // microseconds since the start of the run, by a clock without drift
constexpr Time kSecond = 1000000;

// A queue of actions, ordered by their time. Actions of the same time run in the order in
// which they were added, so that a run depends only on its seed.
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

  // Adds an action. `when` must not be before the time of the event that take() returned last.
  void
  add (Time when, Action action)
  {
    events_.push ({ when, next_order_++, std::move (action) });
  }

  // Whether the first action is due at `end` or before.
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

  // Destroys all actions that have not run, and so releases the objects that they hold.
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
