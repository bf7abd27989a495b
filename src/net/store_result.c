#include "net/store_result.h"

FtStoreResult
ft_store_result_from_status (guint status)
{
  switch (status) {
  case 0:
    return FT_STORE_UNANSWERED;
  case 200:
    return FT_STORE_OK;
  case 400:
    return FT_STORE_INVALID;
  case 404:
    return FT_STORE_NOT_FOUND;
  case 409:
    return FT_STORE_CONFLICT;
  case 410:
    return FT_STORE_COMPACTED;
  case 429:
    return FT_STORE_THROTTLED;
  case 503:
    return FT_STORE_UNAVAILABLE;
  default:
    return FT_STORE_FAILED;
  }
}

gboolean
ft_store_result_is_served (FtStoreResult result)
{
  return result == FT_STORE_OK || result == FT_STORE_NOT_FOUND || result == FT_STORE_CONFLICT
         || result == FT_STORE_COMPACTED;
}
