// The parts of tests of the real program over loopback: stand-ins for the key-value store, the cloud and
// the workers, and controllers as processes. Each server listens on a port of its own.
#pragma once
#include "loopback/controllers.hpp"
#include "loopback/http.hpp"
#include "loopback/jobs.hpp"
#include "loopback/services.hpp"
#include "loopback/worker.hpp"
