/* Reports a signal that ends the process, such as SIGSEGV or SIGABRT, in the log.
 *
 * The line names the signal, the address that was accessed and the addresses of the calling functions, so that a use
 * of freed memory, a stack overflow and a failed assertion can be told apart without a core file. The signal then ends
 * the process as it would have without this module. Used by main(). */
#pragma once
#include <glib.h>

/**
 * ft_fatal_signal_report:
 * @member: name of this controller, which begins the line; copied, and shortened if it is very long
 *
 * Installs the handlers. A signal that has a handler already, for example that of AddressSanitizer, keeps it. SIGKILL,
 * which also ends a process that has no memory left, cannot be reported.
 */
void ft_fatal_signal_report (const char *member);
