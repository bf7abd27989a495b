// Prints, as JSON, what wire_capture.hpp captures for the inputs in a file. Built by capture.sh; not a test.
#include <cstdio>

#include "wire_capture.hpp"

int
main (int argc, char **argv)
{
  json_t *inputs = argc > 1 ? json_load_file (argv[1], 0, nullptr) : nullptr;
  if (inputs == nullptr) {
    fprintf (stderr, "usage: capture_main INPUTS.json\n");
    return 2;
  }
  json_t *written = wire_capture::written (inputs), *read = wire_capture::read (inputs, written);
  json_t *all = json_pack ("{s:o, s:o}", "written", written, "read", read);
  json_dumpf (all, stdout, JSON_INDENT (1));
  putchar ('\n');
  json_decref (all);
  json_decref (inputs);
  return 0;
}
