/**
 * SECTION:error
 * @title: Errors and exit codes of flintctl
 *
 * Every function of flintctl that can fail reports a #GError: of %FT_CTL_ERROR, or of %G_OPTION_ERROR from the
 * parsing of options. main () prints it as one line and ends the program with the exit code that belongs to it, so
 * no other module writes an error message or chooses an exit code.
 */
#pragma once
#include <glib.h>

/** FT_CTL_ERROR: the error domain of flintctl. */
#define FT_CTL_ERROR (ft_ctl_error_quark ())

/**
 * FtCtlError:
 * @FT_CTL_ERROR_REFUSED: a controller refused the request, or what was asked for does not exist
 * @FT_CTL_ERROR_USAGE: the command line or FLINTCTL_NODES is wrong; nothing was sent
 * @FT_CTL_ERROR_NO_ANSWER: no controller answered
 */
typedef enum {
  FT_CTL_ERROR_REFUSED,
  FT_CTL_ERROR_USAGE,
  FT_CTL_ERROR_NO_ANSWER,
} FtCtlError;

/**
 * FtCtlExit: exit codes. Scripts rely on them, and flintctl(1) documents them: never renumber one.
 */
typedef enum {
  FT_CTL_EXIT_DONE = 0,
  FT_CTL_EXIT_REFUSED = 1,
  FT_CTL_EXIT_USAGE = 2,
  FT_CTL_EXIT_NO_ANSWER = 3,
} FtCtlExit;

/** ft_ctl_error_quark: Returns: the quark of %FT_CTL_ERROR. */
GQuark ft_ctl_error_quark (void);

/**
 * ft_ctl_exit_code:
 * @error: an error of %FT_CTL_ERROR or %G_OPTION_ERROR
 *
 * Returns: the exit code that belongs to @error.
 */
FtCtlExit ft_ctl_exit_code (const GError *error);
