/**
 * SECTION:error
 * @title: Errors and exit codes of flintctl
 *
 * Every function of flintctl that can fail reports a #GError of the domain %FT_CTL_ERROR or, from the parsing of
 * options, %G_OPTION_ERROR. Only main () prints errors and chooses the exit code: it prints the message as one line
 * and exits with the code that ft_ctl_exit_code () returns.
 */
#pragma once
#include <glib.h>

/** FT_CTL_ERROR: the error domain of flintctl; its codes are those of #FtCtlError. */
#define FT_CTL_ERROR (ft_ctl_error_quark ())

/**
 * FtCtlError:
 * @FT_CTL_ERROR_REFUSED: a controller refused the request, or the requested job does not exist
 * @FT_CTL_ERROR_USAGE: the command line or FLINTCTL_NODES is wrong; no request was sent
 * @FT_CTL_ERROR_NO_ANSWER: no controller answered the request
 *
 * The errors of flintctl.
 */
typedef enum {
  FT_CTL_ERROR_REFUSED,
  FT_CTL_ERROR_USAGE,
  FT_CTL_ERROR_NO_ANSWER,
} FtCtlError;

/**
 * FtCtlExit:
 * @FT_CTL_EXIT_DONE: the command has succeeded
 * @FT_CTL_EXIT_REFUSED: the exit code for %FT_CTL_ERROR_REFUSED
 * @FT_CTL_EXIT_USAGE: the exit code for %FT_CTL_ERROR_USAGE and for errors of %G_OPTION_ERROR
 * @FT_CTL_EXIT_NO_ANSWER: the exit code for %FT_CTL_ERROR_NO_ANSWER
 *
 * The exit codes of flintctl. Scripts depend on the numbers, and flintctl(1) documents them, so they must not change.
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
 * Returns: the exit code with which flintctl ends after @error.
 */
FtCtlExit ft_ctl_exit_code (const GError *error);
