// Loopback stand-ins for tests of the real program: key-value store and cloud over
// HTTP, workers, and controllers as processes. Each server takes a port of its own.
#pragma once
#include "loopback/controllers.hpp"
#include "loopback/http.hpp"
#include "loopback/jobs.hpp"
#include "loopback/services.hpp"
#include "loopback/worker.hpp"
