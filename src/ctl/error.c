#include "ctl/error.h"

G_DEFINE_QUARK (flintctl - error, ft_ctl_error)

FtCtlExit
ft_ctl_exit_code (const GError *error)
{
  if (error->domain == G_OPTION_ERROR)
    return FT_CTL_EXIT_USAGE;
  switch ((FtCtlError) error->code) {
  case FT_CTL_ERROR_USAGE:
    return FT_CTL_EXIT_USAGE;
  case FT_CTL_ERROR_NO_ANSWER:
    return FT_CTL_EXIT_NO_ANSWER;
  case FT_CTL_ERROR_REFUSED:
    break;
  }
  return FT_CTL_EXIT_REFUSED;
}
