// Parsing of the key-value store's answers. A successful answer whose body is invalid becomes FT_STORE_MALFORMED, and
// every other result is returned without parsing the body.
#include <memory>

#include <gtest/gtest.h>

extern "C" {
#include "net/store_answers.h"
}

namespace {

struct JsonFree {
  void
  operator() (json_t *value) const
  {
    json_decref (value);
  }
};
using Json = std::unique_ptr<json_t, JsonFree>;

Json
parse (const char *text)
{
  return Json (json_loads (text, 0, nullptr));
}

TEST (StoreAnswers, ValidRowIsParsed)
{
  Json body = parse ("{\"key\":\"l/journal\",\"data\":{\"token\":3},\"stamp\":7}");
  FtRow row;
  ASSERT_EQ (ft_store_read_row (FT_STORE_OK, body.get (), &row), FT_STORE_OK);
  EXPECT_STREQ (row.key, "l/journal");
  EXPECT_EQ (row.revision, 7u);
}

TEST (StoreAnswers, SuccessWithAnInvalidBodyIsMalformed)
{
  Json body = parse ("{\"key\":7}");
  FtRow row;
  FtJobRow job;
  GArray *rows = nullptr;
  gboolean more = FALSE;
  guint64 revision = 0;
  EXPECT_EQ (ft_store_read_row (FT_STORE_OK, body.get (), &row), FT_STORE_MALFORMED);
  EXPECT_EQ (ft_store_read_row (FT_STORE_OK, nullptr, &row), FT_STORE_MALFORMED);
  EXPECT_EQ (ft_store_read_job (FT_STORE_OK, body.get (), &row, &job), FT_STORE_MALFORMED);
  EXPECT_EQ (ft_store_read_revision (FT_STORE_OK, body.get (), &revision), FT_STORE_MALFORMED);
  EXPECT_EQ (ft_store_read_rows (FT_STORE_OK, body.get (), &rows, &more), FT_STORE_MALFORMED);
  EXPECT_EQ (rows, nullptr);
}

TEST (StoreAnswers, EventsWithoutARevisionAreMalformed)
{
  Json body = parse ("{\"events\":[]}");
  GArray *rows = nullptr;
  guint64 revision = 5;
  EXPECT_EQ (ft_store_read_events (FT_STORE_OK, body.get (), &rows, &revision), FT_STORE_MALFORMED);
  EXPECT_EQ (rows, nullptr);
  EXPECT_EQ (revision, 5u);
}

TEST (StoreAnswers, RowOfAnotherKindIsMalformedAsAJobRow)
{
  Json body = parse ("{\"key\":\"l/journal\",\"data\":{\"token\":3},\"stamp\":7}");
  FtRow row;
  FtJobRow job;
  EXPECT_EQ (ft_store_read_job (FT_STORE_OK, body.get (), &row, &job), FT_STORE_MALFORMED);
}

TEST (StoreAnswers, OtherResultsAreReturnedWithoutParsingTheBody)
{
  Json body
      = parse ("{\"key\":\"l/journal\",\"data\":{\"token\":3},\"stamp\":7,\"ledger\":8,\"pairs\":[],\"events\":[]}");
  for (FtStoreResult result : { FT_STORE_NOT_FOUND, FT_STORE_CONFLICT, FT_STORE_COMPACTED, FT_STORE_INVALID,
                                FT_STORE_THROTTLED, FT_STORE_UNAVAILABLE, FT_STORE_UNANSWERED, FT_STORE_FAILED }) {
    FtRow row;
    FtJobRow job;
    GArray *rows = nullptr;
    gboolean more = FALSE;
    guint64 revision = 5;
    EXPECT_EQ (ft_store_read_row (result, body.get (), &row), result);
    EXPECT_EQ (ft_store_read_job (result, body.get (), &row, &job), result);
    EXPECT_EQ (ft_store_read_revision (result, body.get (), &revision), result);
    EXPECT_EQ (ft_store_read_rows (result, body.get (), &rows, &more), result);
    EXPECT_EQ (ft_store_read_events (result, body.get (), &rows, &revision), result);
    EXPECT_EQ (rows, nullptr);
    EXPECT_EQ (revision, 5u);
  }
}

} // namespace
