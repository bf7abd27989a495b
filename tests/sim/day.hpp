// A day in the stand-in world: work, troubles at set times, and what must hold at the end.
#pragma once
#include <gtest/gtest.h>

#include "world.hpp"

namespace sim {

constexpr Time kLength = 420 * kSecond;

struct Day {
  World world;
  std::vector<std::string> refs;
  Time length = kLength;
  explicit Day (guint32 seed, guint scale = 1) : world (seed, scale)
  {
    for (auto &node : world.nodes)
      node->start ();
  }
  void
  load ()
  {
    for (int i = 0; i < 26; i++) {
      std::string ref = "req-" + std::to_string (100000 + world.below (800000) * 10 + i % 10);
      refs.push_back (ref);
      Time when = (Time) (world.uniform (1, 140) * kSecond);
      guint tasks = (guint) world.below (9) + 1;
      double cpus = 1 + world.below (4), run = world.uniform (3, 40);
      std::string team = world.chance (0.6) ? "red" : "blue";
      bool zone = world.chance (0.15), spread = !zone && world.chance (0.2), spot = world.chance (0.7);
      world.at (when, [this, ref, tasks, cpus, run, team, zone, spread, spot] {
        world.submit (ref, tasks, cpus, run, team, zone, spread, spot);
      });
      if (world.chance (0.25))
        world.at (when + (Time) (world.uniform (1, 40) * kSecond), [this, ref] { world.cancel (ref); });
      for (Time t = when + 5 * kSecond; t < kLength; t += 7 * kSecond)
        world.at (t, [this, ref] { world.poll (ref); });
    }
    world.at (30 * kSecond, [this] { world.poll ("req-999"); });
  }
  bool
  accepted (const std::vector<std::string> &dependencies) const
  {
    return std::all_of (dependencies.begin (), dependencies.end (), [this] (const std::string &dependency) {
      auto it = world.checker->jobs ().find (dependency);
      return it != world.checker->jobs ().end () && it->second.accepted;
    });
  }
  bool
  over (const std::vector<std::string> &dependencies) const
  {
    return accepted (dependencies)
           && std::all_of (dependencies.begin (), dependencies.end (), [this] (const std::string &dependency) {
                return !world.checker->jobs ().at (dependency).final_told.empty ();
              });
  }
  void
  poll_until_end (const std::string &ref, Time from, Time every)
  {
    for (Time t = from; t < length; t += every)
      world.at (t, [this, ref] { world.poll (ref); });
  }
  // Submits the job once those that it needs are accepted (or over, if `late`), and calls it
  // off a while later, if `cancel`.
  void
  submit_step (Time when, const std::string &ref, std::vector<std::string> dependencies, guint tasks, bool late,
               bool cancel)
  {
    world.at (when, [this, ref, dependencies, tasks, late, cancel] {
      if (late ? !over (dependencies) : !accepted (dependencies)) {
        submit_step (world.now + kSecond / 3, ref, dependencies, tasks, late, cancel);
        return;
      }
      world.submit (ref, tasks, 1 + world.below (2), world.uniform (2, 15), "red", false, false, true, dependencies);
      late_steps += late;
      poll_until_end (ref, world.now + 4 * kSecond, 7 * kSecond);
      if (cancel)
        world.after ((Time) (world.uniform (0.1, 40) * kSecond), [this, ref] { world.cancel (ref); });
    });
  }
  // Chains with a broad step in them; the first step may need jobs of before, the last may be
  // submitted when the others are over.
  void
  load_pipelines (int count, double cancelled_share, double from_s = 5, double until_s = 100)
  {
    for (int i = 0; i < count; i++) {
      std::string name = "req-8" + std::to_string (i) + "-";
      Time when = (Time) (world.uniform (from_s, until_s) * kSecond);
      int called_off = world.chance (cancelled_share) ? world.below (4) : -1;
      std::vector<std::string> earlier, middle;
      if (!refs.empty () && world.chance (0.3))
        earlier.push_back (refs[world.below ((int) refs.size ())]);
      submit_step (when, name + "0", earlier, (guint) world.below (6) + 1, false, called_off == 0);
      for (int j = 0; j < 2 + world.below (3); j++) {
        middle.push_back (name + "1" + std::to_string (j));
        submit_step (when, middle.back (), { name + "0" }, (guint) world.below (10) + 1, false,
                     called_off == 1 && j == 0);
      }
      submit_step (when, name + "2", middle, (guint) world.below (3) + 1, false, called_off == 2);
      submit_step (when, name + "3", { name + "2" }, 2, world.chance (0.2), called_off == 3);
    }
  }
  // Controllers of the version before, with the limits of the state service of before, are
  // ended and come back new one after the other; later the state service has its new limits.
  void
  upgrade (Time when, Time every, Time limits)
  {
    world.old_settings = world.settings;
    world.old_settings.value_kb = 8;
    world.old_settings.txn_ops = 16;
    for (auto &node : world.nodes)
      node->old = true;
    for (int i = 0; i < 3; i++)
      world.at (when + i * every, [this, i] {
        world.nodes[i]->old = false;
        world.nodes[i]->crash (3 * kSecond);
      });
    world.at (limits, [this] { world.store.limit (world.settings.value_kb, world.settings.txn_ops, 28); });
  }
  guint late_steps = 0; // steps submitted when all before them were over
  // Hundreds of machines, jobs of up to 250 tasks.
  void
  load_large (int jobs)
  {
    world.worker_step = kSecond / 4;
    world.settings.value_kb = 8;
    world.settings.txn_ops = 16;
    for (int i = 0; i < jobs; i++) {
      std::string ref = "req-" + std::to_string (i);
      Time when = (Time) (world.uniform (1, 60) * kSecond);
      guint tasks = i % 10 == 0 ? 250 : (guint) world.below (60) + 20;
      double run = world.uniform (5, 20);
      std::string team = world.chance (0.6) ? "red" : "blue";
      world.at (when, [this, ref, tasks, run, team] { world.submit (ref, tasks, 3, run, team, false, false, true); });
      if (world.chance (0.1))
        world.at (when + (Time) (world.uniform (1, 40) * kSecond), [this, ref] { world.cancel (ref); });
      for (Time t = when + 5 * kSecond; t < length; t += 15 * kSecond)
        world.at (t, [this, ref] { world.poll (ref); });
    }
  }
  void
  crash (Time when, int node)
  {
    world.at (when, [this, node] { world.nodes[node]->crash ((Time) (world.uniform (0.3, 6) * kSecond)); });
  }
  std::shared_ptr<Worker>
  any_machine ()
  {
    auto it = world.machines.begin ();
    std::advance (it, world.below ((int) world.machines.size ()));
    return it->second;
  }
  // Its process is back within a fraction of a second, again and again: also
  // while the others elect.
  void
  blink (Time when, int node)
  {
    for (int i = 0; i < 3; i++) {
      when += (Time) (world.uniform (0.05, 1.5) * kSecond);
      world.at (when, [this, node] { world.nodes[node]->crash ((Time) (world.uniform (0.02, 0.4) * kSecond)); });
    }
  }
  // A machine back at once: a new incarnation and no tasks.
  void
  reboot (Time when)
  {
    world.at (when, [this] {
      if (world.machines.empty ())
        return;
      auto m = any_machine ();
      if (m->alive && m->up)
        m->reboot ();
    });
  }
  void
  deafen (Time when, Time length)
  {
    world.at (when, [this, length] {
      if (!world.machines.empty ())
        any_machine ()->deafen (world.now + length);
    });
  }
  void
  machine_trouble (Time when)
  {
    world.at (when, [this] {
      if (world.machines.empty ())
        return;
      auto m = any_machine ();
      double roll = world.uniform (0, 1);
      if (roll < 0.4)
        m->die ();
      else if (roll < 0.8)
        m->hang (world.now + (Time) (world.uniform (3, 40) * kSecond));
      else
        world.failing.insert (m->name);
    });
  }
  // Controllers end, machines fail and hang, cuts, and the state service is out for a while.
  void
  everything_at_once ()
  {
    for (int i = 0; i < 5; i++) {
      Time when = (Time) (world.uniform (15, 150) * kSecond);
      crash (when, world.below (3));
      machine_trouble (when + (Time) (world.uniform (-2, 2) * kSecond));
      cut_node ((Time) (world.uniform (15, 140) * kSecond), world.below (3), world.chance (0.5));
    }
    outage (90 * kSecond, 15 * kSecond);
  }
  void
  cut_node (Time when, int node, bool from_store)
  {
    world.at (when, [this, node, from_store] {
      Time until = world.now + (Time) (world.uniform (5, 40) * kSecond);
      std::string name = "node-" + std::to_string (node);
      if (from_store)
        world.cut (name, "store", until);
      else
        for (auto &[machine, worker] : world.machines)
          if (world.chance (0.6))
            world.cut (name, machine, until);
    });
  }
  // A zone with its controller is cut off from all others, for longer than a lease.
  void
  cut_zone (Time when, Time length, const std::string &zone, int inside)
  {
    world.at (when, [this, length, zone, inside] {
      Time until = world.now + length;
      std::string in = "node-" + std::to_string (inside);
      for (const char *service : { "store", "cloud" })
        world.cut (in, service, until);
      for (int i = 0; i < 3; i++)
        for (auto &[machine, worker] : world.machines)
          if ((worker->zone == zone) != (i == inside))
            world.cut ("node-" + std::to_string (i), machine, until);
    });
  }
  void
  freeze (Time when, int node, Time length)
  {
    world.at (when, [this, node, length] { world.nodes[node]->freeze (world.now + length); });
  }
  // The one that holds the lease, as far as it knows itself; NULL: none.
  Node *
  leader ()
  {
    for (auto &node : world.nodes)
      if (node->alive && node->leads ())
        return node.get ();
    return nullptr;
  }
  // The state service refuses the leader alone.
  void
  refuse_leader (Time when, Time length)
  {
    world.at (when, [this, length] {
      refused = leader ();
      if (refused != nullptr)
        refused->refused_until = world.now + length;
    });
  }
  // Jobs with tasks of that many seconds, on machines before the troubles begin.
  void
  load_long (int jobs, guint tasks, double run, bool one_zone = false, bool spread = false)
  {
    for (int i = 0; i < jobs; i++) {
      std::string ref = "req-7" + std::to_string (refs.size ());
      refs.push_back (ref);
      Time when = (Time) (world.uniform (1, 8) * kSecond);
      std::string team = world.chance (0.6) ? "red" : "blue";
      world.at (when, [this, ref, tasks, run, team, one_zone, spread] {
        world.submit (ref, tasks, 2, run, team, one_zone, spread, true);
      });
      for (Time t = when + 5 * kSecond; t < length; t += 7 * kSecond)
        world.at (t, [this, ref] { world.poll (ref); });
    }
  }
  // Users call off that many jobs that run, within a fifth of a second.
  void
  cancel_running (Time when, guint count)
  {
    world.at (when, [this, count] {
      guint n = 0;
      for (const auto &[ref, job] : world.checker->jobs ())
        if (n < count && !job.cancel_asked && job.final_told.empty () && world.checker->live (ref) > 0) {
          cancelled.push_back (ref);
          world.after ((Time) (world.uniform (0, 0.2) * kSecond), [this, ref = ref] { world.cancel (ref); });
          n++;
        }
    });
  }
  // Machines that have tasks of that job.
  std::vector<std::shared_ptr<Worker> >
  machines_of (const std::string &ref)
  {
    std::vector<std::shared_ptr<Worker> > found;
    for (auto &[name, worker] : world.machines)
      if (worker->alive && worker->runs (ref))
        found.push_back (worker);
    return found;
  }
  // Confirmations of cancellations in that span.
  guint
  confirmed_between (Time from, Time to) const
  {
    guint n = 0;
    for (const std::string &ref : cancelled) {
      auto told = world.checker->jobs ().at (ref).cancel_told;
      n += told && *told >= from && *told < to;
    }
    return n;
  }
  std::vector<std::string> cancelled;
  Node *refused = nullptr;
  void
  outage (Time when, Time length)
  {
    world.at (when, [this] { world.store.down = true; });
    world.at (when + length, [this] { world.store.down = false; });
  }
  // What the leader makes of a job, for the message of a failure.
  std::string
  seen_by_leader (const std::string &ref)
  {
    std::string text = "no leader";
    std::pair<std::string, std::string *> sought = { ref, &text };
    for (auto &node : world.nodes)
      if (node->alive && node->leads ()) {
        text = node->name () + " does not know it";
        ft_scheduler_each_job (
            node->scheduler (),
            [] (const FtJobInfo *job, gpointer data) {
              auto wanted = (std::pair<std::string, std::string *> *) data;
              if (wanted->first == job->ref)
                *wanted->second = std::string (job->state) + ", " + std::to_string (job->done) + " done, "
                                  + std::to_string (job->running) + " running, waits for: " + job->why_waiting;
            },
            &sought);
      }
    return text;
  }
  void
  finish ()
  {
    world.at (length / 2, [this] { world.checker->calm (world.now); });
    for (Time t = length / 2; t < length; t += 2 * kSecond)
      world.at (t, [this] { world.look_at_waiting (); });
    world.run_until (length);
    world.checker->end ();
    for (const std::string &what : world.checker->broken ())
      ADD_FAILURE () << what;
    int open = 0;
    for (const auto &[ref, job] : world.checker->jobs ())
      if (job.final_told.empty () && job.accepted) {
        open++;
        ADD_FAILURE () << ref << " of " << job.team << ": " << job.done.size () << " of " << job.tasks
                       << " tasks done; " << seen_by_leader (ref);
      }
    EXPECT_EQ (open, 0) << "jobs neither done nor cancelled at the end";
  }
};

} // namespace sim
