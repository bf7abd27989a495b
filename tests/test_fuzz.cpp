// Fuzz tests of every decoder and of the settings parser. They run on mutations of a small corpus, with fixed seeds and
// a fixed number of rounds, under the sanitizers. A target fails if it crashes, leaks memory, or accepts a value that
// cannot be encoded and decoded again.
#include <gtest/gtest.h>

#include "world.hpp"

extern "C" {
#include "config.h"
#include "wire/cbor.h"
#include "wire/cloud.h"
#include "wire/peer_heartbeat.h"
#include "wire/messages.h"
#include "wire/store.h"
}

namespace {

constexpr int kRounds = 4000;             // mutations of each kind in one test
using Target = void (*) (const json_t *); // decodes a message body; NULL stands for malformed CBOR

void
fuzz_job (const json_t *body)
{
  g_autoptr (FtJobSpec) spec = ft_message_job (body);
  if (spec == nullptr)
    return;
  json_t *row = ft_row_open (spec);
  ASSERT_NE (row, nullptr);
  g_autoptr (FtJobSpec) back = ft_row_open_parse (spec->ref, row);
  EXPECT_NE (back, nullptr) << "the row of an accepted job must be readable";
  json_decref (row);
}

void
fuzz_worker_heartbeat (const json_t *body)
{
  g_autoptr (FtWorkerHeartbeat) heartbeat = ft_message_worker_heartbeat (body);
  if (heartbeat == nullptr)
    return;
  sim::World world (1);
  g_autoptr (FtScheduler) scheduler = ft_scheduler_new (&world.settings, world.catalog, { 41, 41 }, 0, 1, 1);
  ft_scheduler_loaded (scheduler, 1);
  if (ft_scheduler_heartbeat (scheduler, heartbeat, 2)) {
    g_autoptr (GArray) commands = ft_scheduler_answer (scheduler, heartbeat, 2, nullptr);
    json_decref (ft_message_answer (41, commands));
  }
}

void
fuzz_catalog (const json_t *body)
{
  g_autoptr (FtCatalog) catalog = ft_cloud_catalog (body);
}

void
fuzz_machines (const json_t *body)
{
  gboolean more;
  g_autoptr (GArray) list = ft_listed_new ();
  ft_cloud_list (body, list, &more);
  FtCloudCall *call = g_new0 (FtCloudCall, 1);
  call->names = g_ptr_array_new_with_free_func (g_free);
  ft_cloud_launched (body, call);
  ft_cloud_call_free (call);
}

// Parses each row as every kind of row, and loads the jobs and machines into a scheduler.
void
read_rows (const GArray *rows)
{
  sim::World world (1);
  g_autoptr (FtScheduler) scheduler = ft_scheduler_new (&world.settings, world.catalog, { 41, 41 }, 0, 1, 1);
  FtLeaseRows lease{};
  ft_row_lease_parse (rows, &lease);
  ft_lease_rows_clear (&lease);
  for (guint i = 0; i < rows->len; i++) {
    const FtRow *row = &g_array_index (rows, FtRow, i);
    g_autofree char *ref = nullptr;
    gboolean cancelled;
    guint number;
    g_autofree char *open = ft_key_open_ref (row->key, &cancelled);
    if (open != nullptr && row->value != nullptr) {
      g_autoptr (GError) error = nullptr;
      FtJobSpec *spec = ft_row_open_parse_full (open, row->value, &error);
      EXPECT_TRUE ((spec == nullptr) == (error != nullptr));
      if (spec != nullptr)
        ft_scheduler_load_job (scheduler, spec, row->revision, 1, 1);
    }
    if (row->value != nullptr)
      ft_row_machine_parse (scheduler, row);
    if (ft_key_chunk_parse (row->key, &ref, &number) && row->value != nullptr && ft_row_chunk_bits (row->value))
      ft_scheduler_load_done (scheduler, ref, number, ft_row_chunk_bits (row->value));
    FtJobRow job_row;
    ft_row_job_parse (row->value, &job_row);
  }
}

void
fuzz_rows (const json_t *body)
{
  gboolean more;
  FtRow row;
  g_autoptr (GArray) rows = ft_store_rows (body, &more);
  if (rows != nullptr)
    read_rows (rows);
  ft_store_row (body, &row);
  ft_store_failed (body, "a/b");
}

void
fuzz_events (const json_t *body)
{
  g_autoptr (GArray) rows = ft_store_events (body);
  if (rows != nullptr)
    read_rows (rows);
}

void
fuzz_peer_heartbeat (const json_t *body)
{
  g_autoptr (FtPeerHeartbeat) heartbeat = ft_peer_heartbeat_parse (body);
  if (heartbeat == nullptr)
    return;
  json_t *again = ft_peer_heartbeat_body (heartbeat);
  g_autoptr (FtPeerHeartbeat) same = ft_peer_heartbeat_parse (again);
  EXPECT_NE (same, nullptr) << "a decoded peer heartbeat must survive encoding and decoding";
  json_decref (again);
}

std::string
read_corpus (const char *name)
{
  g_autofree char *path = g_strdup_printf ("%s/%s.json", FT_CORPUS, name);
  char *text = nullptr;
  EXPECT_TRUE (g_file_get_contents (path, &text, nullptr, nullptr)) << path;
  std::string content = text ? text : "";
  g_free (text);
  return content;
}

// Makes one to four random changes to the bytes: replaces, removes or inserts a byte, truncates, or flips a bit.
void
mutate (GRand *random, std::vector<guint8> &bytes)
{
  int times = g_rand_int_range (random, 1, 5);
  for (int i = 0; i < times && !bytes.empty (); i++) {
    size_t at = (size_t) g_rand_int_range (random, 0, (gint32) bytes.size ());
    switch (g_rand_int_range (random, 0, 5)) {
    case 0:
      bytes[at] = (guint8) g_rand_int (random);
      break;
    case 1:
      bytes.erase (bytes.begin () + (long) at);
      break;
    case 2:
      bytes.insert (bytes.begin () + (long) at, (guint8) g_rand_int (random));
      break;
    case 3:
      bytes.resize (at);
      break;
    case 4:
      bytes[at] ^= (guint8) (1u << g_rand_int_range (random, 0, 8));
      break;
    }
  }
}

// Replaces one random value of the tree, so that the message stays well-formed but may be invalid.
void
mutate_tree (GRand *random, json_t *node)
{
  static const char *const wrong[] = { "null", "-1", "1e300", "\"\"", "[]", "{}", "true", "9007199254740993", "\"x\"" };
  if (json_is_array (node) && json_array_size (node) > 0) {
    mutate_tree (random, json_array_get (node, (size_t) g_rand_int_range (random, 0, (gint32) json_array_size (node))));
    return;
  }
  if (!json_is_object (node) || json_object_size (node) == 0)
    return;
  int chosen = g_rand_int_range (random, 0, (gint32) json_object_size (node));
  void *position = json_object_iter (node);
  while (chosen-- > 0)
    position = json_object_iter_next (node, position);
  json_t *value = json_object_iter_value (position);
  if ((json_is_object (value) || json_is_array (value)) && g_rand_boolean (random)) {
    mutate_tree (random, value);
    return;
  }
  const char *text = wrong[g_rand_int_range (random, 0, G_N_ELEMENTS (wrong))];
  json_object_iter_set_new (node, position, json_loads (text, JSON_DECODE_ANY, nullptr));
}

// Calls `on_bytes` with mutations of the seed's CBOR encoding and `on_tree` with mutations of the seed itself.
// `random_seed` seeds the random changes.
void
each_mutation (const json_t *seed, guint32 random_seed, std::function<void (const guint8 *, gsize)> on_bytes,
               std::function<void (json_t *)> on_tree)
{
  g_autoptr (GRand) random = g_rand_new_with_seed (random_seed);
  g_autoptr (GBytes) encoded = ft_cbor_encode (seed);
  gsize size;
  auto data = (const guint8 *) g_bytes_get_data (encoded, &size);
  for (int i = 0; i < kRounds; i++) {
    std::vector<guint8> bytes (data, data + size);
    mutate (random, bytes);
    on_bytes (bytes.data (), bytes.size ());
    json_t *tree = json_deep_copy (seed);
    mutate_tree (random, tree);
    on_tree (tree);
    json_decref (tree);
  }
}

// Runs the target on mutations of the corpus file of that name, without ".json". At least one mutation must be
// decodable.
void
run (const char *name, Target target)
{
  json_t *seed = json_loads (read_corpus (name).c_str (), 0, nullptr);
  ASSERT_NE (seed, nullptr);
  int decoded = 0;
  auto from_bytes = [&] (const guint8 *data, gsize size) {
    json_t *body = ft_cbor_decode (data, size);
    decoded += body != nullptr;
    target (body);
    json_decref (body);
  };
  each_mutation (seed, 7, from_bytes, target);
  EXPECT_GT (decoded, 0);
  json_decref (seed);
}

// The fields of a worker heartbeat as text, for comparison; "none" for NULL.
std::string
text_of (const FtWorkerHeartbeat *heartbeat)
{
  if (heartbeat == nullptr)
    return "none";
  g_autofree char *head
      = g_strdup_printf ("%s %s %s %s %d %" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT " %g",
                         heartbeat->machine, heartbeat->addr, heartbeat->type, heartbeat->zone, heartbeat->spot,
                         heartbeat->incarnation, heartbeat->sequence, heartbeat->token, heartbeat->notice_s);
  std::string all = head;
  for (guint i = 0; i < heartbeat->tasks->len; i++) {
    const FtTaskStatus *task = &g_array_index (heartbeat->tasks, FtTaskStatus, i);
    all += std::string (" ") + task->job + "/" + std::to_string (task->index) + " " + std::to_string (task->attempt)
           + " " + std::to_string (task->state) + " " + std::to_string (task->exit_reason);
  }
  return all;
}

// Expects the streaming decoder to accept the same data as the tree decoder and to read the same fields. `accepted`
// counts the heartbeats that the streaming decoder has accepted.
void
expect_decoders_agree (const guint8 *data, gsize size, int *accepted)
{
  json_t *tree = ft_cbor_decode (data, size);
  g_autoptr (FtWorkerHeartbeat) tree_decoded = ft_message_worker_heartbeat (tree),
                                stream_decoded = ft_message_worker_heartbeat_from_cbor (data, size);
  EXPECT_EQ (text_of (stream_decoded), text_of (tree_decoded));
  *accepted += stream_decoded != nullptr;
  json_decref (tree);
}

TEST (Fuzz, StreamingAndTreeDecodersOfWorkerHeartbeatsAgree)
{
  json_t *seed = json_loads (read_corpus ("worker_heartbeat").c_str (), 0, nullptr);
  json_object_set_new (seed, "recall_s", json_real (12.5));
  int accepted = 0;
  auto from_bytes = [&] (const guint8 *data, gsize size) { expect_decoders_agree (data, size, &accepted); };
  auto from_tree = [&] (json_t *tree) {
    g_autoptr (GBytes) bytes = ft_cbor_encode (tree);
    gsize size;
    auto data = (const guint8 *) g_bytes_get_data (bytes, &size);
    from_bytes (data, size);
  };
  each_mutation (seed, 9, from_bytes, from_tree);
  EXPECT_GT (accepted, 100);
  json_decref (seed);
}

// Each of these tests runs the decoders of one kind of message on mutations of a valid message.
TEST (Fuzz, JobSubmission) { run ("job", fuzz_job); }
TEST (Fuzz, WorkerHeartbeat) { run ("worker_heartbeat", fuzz_worker_heartbeat); }
TEST (Fuzz, Catalog) { run ("catalog", fuzz_catalog); }
TEST (Fuzz, CloudMachineList) { run ("machines", fuzz_machines); }
TEST (Fuzz, StoreRows) { run ("rows", fuzz_rows); }
TEST (Fuzz, StoreWatchEvents) { run ("events", fuzz_events); }
TEST (Fuzz, PeerHeartbeat) { run ("peer_heartbeat", fuzz_peer_heartbeat); }

TEST (Fuzz, Settings)
{
  g_autoptr (GRand) random = g_rand_new_with_seed (8);
  std::string seed = read_corpus ("settings");
  for (int i = 0; i < kRounds; i++) {
    std::vector<guint8> bytes (seed.begin (), seed.end ());
    mutate (random, bytes);
    g_autoptr (GError) error = nullptr;
    g_autoptr (FtConfig) config = ft_config_parse ((const char *) bytes.data (), bytes.size (), &error);
    EXPECT_TRUE ((config == nullptr) != (error == nullptr));
  }
}

} // namespace
