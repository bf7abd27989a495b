// The leader's requests to the cloud, against a stand-in.
#include "leader_module.hpp"

extern "C" {
#include "net/leader_cloud.h"
}

using namespace loopback;

namespace {

// A cloud whose list of machines names more machines on each page, although all pages but the first are empty.
class LeaderCloud : public LeaderModule {
protected:
  std::string addr = free_address ();
  FtHttpServer *server = ft_http_server_new (addr.c_str (), FT_BODY_CBOR, 100, on_request, this, nullptr);
  FtLeaderCloud *cloud = nullptr;
  bool first_page_is_empty = false;
  guint lists = 0; // requests for a page

  static void
  on_request (FtHttpRequest *request, gpointer data)
  {
    auto self = (LeaderCloud *) data;
    json_t *machines = json_array ();
    if (++self->lists == 1 && !self->first_page_is_empty)
      json_array_append_new (machines, json_pack ("{s:s, s:s, s:s, s:b, s:s, s:s, s:f}", "ref", "n-1", "build", "std",
                                                  "yard", "a", "loaners", 0, "standing", "running", "address",
                                                  "10.1.0.1:9000", "held_s", 1.0));
    ft_http_respond (request, 200, json_pack ("{s:o, s:b}", "hearths", machines, "more", 1));
  }
  void
  SetUp () override
  {
    LeaderModule::SetUp ();
    stand_in.config.cloud_addr = (char *) addr.c_str ();
    stand_in.config.core.cloud_rps = 1000;
    node.cloud_client = ft_http_client_new (2, 2);
    cloud = ft_leader_cloud_new (&term, g_get_monotonic_time ());
  }
  void
  free_module () override
  {
    ft_http_client_free (node.cloud_client);
    ft_leader_cloud_free (cloud);
    ft_http_server_free (server);
  }
  guint64
  malformed () const
  {
    return ft_metrics_value (node.metrics, FT_COUNT_MALFORMED_CLOUD);
  }
  void
  read_list ()
  {
    ft_leader_cloud_begin (cloud, g_get_monotonic_time ());
    ft_leader_cloud_tick (cloud, g_get_monotonic_time ());
    run_main_loop_for (0.5);
  }
};

// Guards against an empty page that is read again at once, and again, and uses up the budget for requests to the cloud.
TEST_F (LeaderCloud, EmptyPageThatNamesMoreEndsTheReadOfTheList)
{
  read_list ();
  EXPECT_EQ (lists, 2u);
  EXPECT_EQ (malformed (), 1u);
}

// Guards against a list that counts as complete, so that all machines count as gone, although its only page is empty
// and names more.
TEST_F (LeaderCloud, EmptyFirstPageThatNamesMoreIsMalformed)
{
  first_page_is_empty = true;
  read_list ();
  EXPECT_EQ (lists, 1u);
  EXPECT_EQ (malformed (), 1u);
}

} // namespace
