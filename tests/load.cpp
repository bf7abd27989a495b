// A load generator for profiling a controller. It runs many machines and jobs over loopback against
// three real controller processes. This is not a test: run `target-test/tests/ftload MACHINES
// JOBS_PER_S SECONDS`, then `perf record -p PID` with the leader's process id, which it prints.
// The environment variable LOAD_CPUS sets the CPUs of a task.
#include <algorithm>
#include <cstdio>

#include "loopback.hpp"

using namespace loopback;

// Submits a job at each interval, and polls earlier jobs.
class Load {
public:
  Load (const Controllers &controllers, double jobs_per_s) : controllers_ (controllers)
  {
    const char *cpus = g_getenv ("LOAD_CPUS");
    cpus_ = cpus != nullptr ? atof (cpus) : 1;
    g_timeout_add ((guint) (1000 / jobs_per_s), on_interval, this);
  }
  guint accepted = 0, refused = 0, polls = 0;

private:
  static constexpr int kFirstJob = 1000; // number in the first job's name
  static constexpr guint kTasks = 65;    // tasks of each job
  static constexpr int kPolls = 29;      // jobs polled at each submission: each third one before the new one
  static constexpr double kTimeoutS = 5; // timeout of a request, in seconds

  static void
  on_submitted (guint status, const json_t *, gpointer data)
  {
    auto self = (Load *) data;
    (status == 201 ? self->accepted : self->refused)++;
  }
  static void
  on_polled (guint, const json_t *, gpointer data)
  {
    ((Load *) data)->polls++;
  }
  static gboolean
  on_interval (gpointer data)
  {
    ((Load *) data)->submit ();
    return G_SOURCE_CONTINUE;
  }
  void
  submit ()
  {
    std::string ref = "req-" + std::to_string (next_++);
    sim::Json body = sim::adopt (job (ref.c_str (), kTasks, "red", cpus_));
    const std::string &node = controllers_.front[(size_t) next_ % controllers_.front.size ()];
    ft_http_send (client (), "POST", node.c_str (), "/work", FT_BODY_CBOR, body.get (), kTimeoutS, FALSE, on_submitted,
                  this);
    for (int i = 1; i <= kPolls; i++) {
      std::string path = "/work/req-" + std::to_string (std::max (kFirstJob, next_ - i * 3));
      ft_http_send (client (), "GET", node.c_str (), path.c_str (), FT_BODY_CBOR, nullptr, kTimeoutS, FALSE, on_polled,
                    this);
    }
  }

  const Controllers &controllers_;
  double cpus_;
  int next_ = kFirstJob;
};

// The settings of a large deployment.
static Site
large_site ()
{
  Site site;
  site.cpus = site.cpus_max = 40000;
  site.heartbeat_s = 5;
  site.lease_s = 26.5;
  site.cancel_s = 46.5;
  site.rps = 200;
  site.write_rps = 80;
  site.value_kb = 16;
  site.txn_ops = 12;
  site.cloud_rps = 5;
  site.ram_mb = 400;
  site.fd_limit = 5000;
  return site;
}

// Runs the main loop for that time.
static void
run_for (int seconds)
{
  gint64 end = g_get_monotonic_time () + seconds * G_USEC_PER_SEC;
  while (g_get_monotonic_time () < end)
    g_main_context_iteration (nullptr, TRUE);
}

int
main (int argc, char **argv)
{
  guint machine_count = argc > 1 ? (guint) atoi (argv[1]) : 500;
  double jobs_per_s = argc > 2 ? atof (argv[2]) : 1;
  int seconds = argc > 3 ? atoi (argv[3]) : 30;
  Services services;
  Controllers controllers (services, 3, large_site ());
  size_t leader = controllers.leader ();
  std::vector<std::unique_ptr<Machine> > machines;
  for (guint i = 0; i < machine_count; i++) {
    g_autofree char *name = g_strdup_printf ("n-%06u", i + 1);
    machines.push_back (std::make_unique<Machine> (controllers.front, name, 500 + i % 10, 36, 10));
  }
  printf ("leader %s\n", g_subprocess_get_identifier (controllers.processes[leader]));
  fflush (stdout);
  Load load (controllers, jobs_per_s);
  run_for (seconds);
  guint starts = 0;
  for (const auto &machine : machines)
    starts += machine->starts;
  printf ("%u accepted, %u refused, %u polls, %u starts\n", load.accepted, load.refused, load.polls, starts);
  fflush (stdout);
  for (size_t i = 0; i < controllers.front.size (); i++)
    controllers.kill (i);
  _exit (0); // exits without waiting for requests in flight
}
