/* The results of requests to the key-value store. */
#pragma once
#include <glib.h>

/**
 * FtStoreResult:
 * @FT_STORE_OK: the rows were read, or the transaction was committed
 * @FT_STORE_NOT_FOUND: the row does not exist
 * @FT_STORE_CONFLICT: a condition of the transaction does not hold; the body names the rows concerned
 * @FT_STORE_COMPACTED: the store no longer has all changes since the requested revision; the rows must
 *     be read again
 * @FT_STORE_INVALID: the store refused the request as invalid and will never accept it
 * @FT_STORE_THROTTLED: the store refused the request because of its rate limits; the client has resent the
 *     request FT_STORE_RESENDS times, or does not resend requests of this priority
 * @FT_STORE_UNAVAILABLE: the store refused the request for now, or the client did not send it, because its queue is
 *     full or it has waited for too long
 * @FT_STORE_UNANSWERED: no answer came in time; the request may still be executed
 * @FT_STORE_FAILED: the answer has a status that the protocol does not define
 * @FT_STORE_MALFORMED: the result was %FT_STORE_OK, but the body cannot be parsed; returned only by the
 *     ft_store_read_*() functions
 *
 * The result of a request. After %FT_STORE_UNANSWERED and %FT_STORE_FAILED it is unknown whether a
 * transaction was committed; after any other result but %FT_STORE_OK and %FT_STORE_MALFORMED it was
 * not.
 */
typedef enum {
  FT_STORE_OK,
  FT_STORE_NOT_FOUND,
  FT_STORE_CONFLICT,
  FT_STORE_COMPACTED,
  FT_STORE_INVALID,
  FT_STORE_THROTTLED,
  FT_STORE_UNAVAILABLE,
  FT_STORE_UNANSWERED,
  FT_STORE_FAILED,
  FT_STORE_MALFORMED,
} FtStoreResult;

/**
 * ft_store_result_from_status:
 * @status: the HTTP status of the store's answer; 0: no answer came
 */
FtStoreResult ft_store_result_from_status (guint status);

/**
 * ft_store_result_is_served:
 *
 * Returns: whether the store processed the request, whatever the result
 */
gboolean ft_store_result_is_served (FtStoreResult result);
