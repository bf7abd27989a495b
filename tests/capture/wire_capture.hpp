// Captures, as JSON, what the wire layer writes and reads for the fixed inputs in
// corpus/wire_inputs.json. This code is compiled against two versions of the wire layer:
// test_wire_capture.cpp compiles it against the current version, and capture.sh against commit
// 8fb6b9e, whose capture is stored in corpus/wire_8fb6b9e.json. In the second case WIRE_NAMES is a
// header that includes that version's headers and maps the current names to that version's names.
#pragma once
#include "wire_capture_read.hpp"
#include "wire_capture_written.hpp"
