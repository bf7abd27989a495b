// What the wire layer writes and reads for the fixed inputs of corpus/wire_inputs.json, as JSON.
// Compiled against two versions: by test_wire_capture.cpp against this one, and by capture.sh
// against the commit whose rows and messages are kept in corpus/wire_8fb6b9e.json; then WIRE_NAMES
// names a header that includes that version's headers and maps today's names to its own.
#pragma once
#include "wire_capture_read.hpp"
#include "wire_capture_written.hpp"
