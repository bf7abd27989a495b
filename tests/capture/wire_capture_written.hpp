// Captures the rows and messages that the wire layer writes for the inputs.
#pragma once
#include "wire_capture_inputs.hpp"

namespace wire_capture {

inline void
write_job (json_t *out, const std::string &name, const json_t *input)
{
  g_autoptr (FtJobSpec) spec = job_of (input);
  if (spec == nullptr)
    return;
  add (out, name + "/open", ft_row_open (spec));
  add (out, name + "/open_size", json_integer ((json_int_t) ft_row_open_size (spec)));
  add (out, name + "/state_open", ft_row_job_open (spec));
  add (out, name + "/state_done", ft_row_job_ended (FT_JOB_END_DONE, spec->tasks, kWallMs));
  add (out, name + "/state_cancelled", ft_row_job_ended (FT_JOB_END_CANCELLED, spec->tasks, kWallMs));
  add_text (out, name + "/key", ft_key_job (spec->ref));
  add_text (out, name + "/key_open", ft_key_open (spec->ref));
  add_text (out, name + "/key_cancellation", ft_key_cancellation (spec->ref));
  for (const char *state : { "queued", "running", "done", "cancelled" }) {
    add (out, name + "/answer_" + state, ft_message_job_state (spec->ref, state, 2, 3, TRUE));
    add (out, name + "/answer_without_counts_" + state, ft_message_job_state (spec->ref, state, 2, 3, FALSE));
  }
}

inline void
write_lease_rows (json_t *out)
{
  add (out, "lease/fence", ft_row_fence (41, "hearth-0", 4002997772315471529));
  add (out, "lease/renewal", ft_row_renewal (41, 9000000, FALSE));
  add (out, "lease/release", ft_row_renewal (41, 9000999, TRUE));
  add (out, "lease/journal", ft_row_journal (41, 4));
  add (out, "cancellation", ft_row_cancellation (kWallMs));
  add_text (out, "drained_key", ft_key_drained ("n-000002"));
}

inline GArray *
two_machines ()
{
  GArray *machines = ft_listed_new ();
  FtListedMachine first = {
    g_strdup ("n-000001"), g_strdup ("127.0.0.1:41347"), g_strdup ("std"), g_strdup ("a"), FALSE, FT_LISTED_RUNNING, 0
  };
  FtListedMachine second = {
    g_strdup ("n-000002"), g_strdup ("127.0.0.1:42887"), g_strdup ("g8"), g_strdup ("b"), TRUE, FT_LISTED_RUNNING, 0
  };
  g_array_append_val (machines, first);
  g_array_append_val (machines, second);
  return machines;
}

// Captures one transaction that has a write of each kind and is conditional on two rows, like a leader's batch.
inline void
write_batch (json_t *out, const json_t *inputs)
{
  static const FtWriteKind kinds[]
      = { FT_WRITE_REGISTRY_ROW, FT_WRITE_REGISTRY_ROW_DELETE, FT_WRITE_DRAIN_DELETE, FT_WRITE_WATERMARK,
          FT_WRITE_CHUNK,        FT_WRITE_CHUNK_DELETE,        FT_WRITE_JOB_DONE,     FT_WRITE_JOB_STOPPED,
          FT_WRITE_JOB_CANCELLED };
  g_autoptr (FtJobSpec) spec = job_of (json_array_get (json_object_get (inputs, "jobs"), 1));
  json_t *batch = ft_txn_new ();
  ft_txn_if (batch, FT_KEY_FENCE, 7);
  ft_txn_if (batch, FT_KEY_JOURNAL, kRevision);
  ft_txn_put (batch, FT_KEY_JOURNAL, ft_row_journal (41, 5));
  for (FtWriteKind kind : kinds) {
    FtWrite write{};
    write.kind = kind;
    write.name = (char *) (kind <= FT_WRITE_REGISTRY_ROW_DELETE ? "1-0"
                           : kind == FT_WRITE_DRAIN_DELETE      ? "n-000002"
                                                                : spec->ref);
    write.machines = kind == FT_WRITE_REGISTRY_ROW ? two_machines () : nullptr;
    write.chunk = 3;
    write.tasks = spec->tasks;
    write.watermark = 5;
    write.spec = spec;
    write.revision = kRevision;
    write.bits = (char *) "AwA=";
    ft_txn_add_write (batch, &write, kWallMs);
    g_clear_pointer (&write.machines, g_array_unref);
  }
  ft_txn_delete (batch, FT_KEY_SETTINGS);
  add (out, "batch", batch);
}

inline void
write_commands (json_t *out)
{
  g_autoptr (GArray) commands = ft_commands_new ();
  FtCommand start = { FT_COMMAND_START, g_strdup ("req-000412"), 3, 2, 0 };
  FtCommand stop = { FT_COMMAND_STOP, g_strdup ("req-000412"), 4, kRevision, 2.5 };
  FtCommand forget = { FT_COMMAND_FORGET, g_strdup ("req-000398"), 0, 1, 0 };
  g_array_append_val (commands, start);
  g_array_append_val (commands, stop);
  g_array_append_val (commands, forget);
  add (out, "worker/answer", ft_message_answer (41, commands));
  add (out, "worker/answer_empty", ft_message_answer (41, nullptr));
  add (out, "worker/commands", ft_message_commands (41, 6, commands));
  add (out, "worker/probe", ft_message_commands (41, 6, nullptr));
  add (out, "worker/redirect", ft_message_redirect ("10.0.0.1:8080"));
  add (out, "worker/redirect_unknown", ft_message_redirect (nullptr));
}

inline void
write_cloud_calls (json_t *out)
{
  g_autoptr (FtCloudCall) call = g_new0 (FtCloudCall, 1);
  call->op = FT_CLOUD_SCALE_OUT;
  call->idempotency_key = g_strdup ("41-7");
  call->type = g_strdup ("g8");
  call->zone = g_strdup ("a");
  call->spot = TRUE;
  call->count = 5;
  call->names = g_ptr_array_new_with_free_func (g_free);
  g_ptr_array_add (call->names, g_strdup ("n-000001"));
  g_ptr_array_add (call->names, g_strdup ("n-000002"));
  add (out, "cloud/scale_out", ft_cloud_scale_out_body (call));
  add (out, "cloud/scale_in", ft_cloud_scale_in_body (call));
}

inline FtPeerHeartbeat *
peer_heartbeat_of (const json_t *input)
{
  FtPeerHeartbeat *heartbeat = ft_peer_heartbeat_new (text (input, "member"));
  heartbeat->supports_dependencies = json_is_true (json_object_get (input, "supports_dependencies"));
  heartbeat->served = json_object_get (input, "served_ms_ago") != nullptr;
  heartbeat->served_ms_ago = (guint64) number (input, "served_ms_ago");
  heartbeat->yields = json_is_true (json_object_get (input, "yields"));
  heartbeat->token = (guint64) number (input, "token");
  json_t *refs = json_object_get (input, "cancellations"), *jobs = json_object_get (input, "jobs");
  for (size_t i = 0; i < json_array_size (refs); i++)
    g_ptr_array_add (heartbeat->cancellations, g_strdup (json_string_value (json_array_get (refs, i))));
  for (size_t i = 0; i < json_array_size (jobs); i++) {
    json_t *job = json_array_get (jobs, i);
    ft_peer_heartbeat_add_job (heartbeat, text (job, "ref"), (guint) number (job, "done"),
                               (guint) number (job, "running"));
  }
  return heartbeat;
}

inline void
write_settings (json_t *out, const std::string &name, const json_t *row)
{
  FtTuning tuning;
  guint count;
  const FtTuningInfo *table = ft_tuning_table (&count);
  ft_row_settings_parse (row, &tuning);
  for (guint i = 0; i < count; i++)
    add (out, name + "/" + table[i].name, ft_setting_value (&tuning, &table[i]));
}

// Makes the capture of everything that is written for the inputs; the caller owns it. Controllers write no worker
// heartbeats, so that the inputs of this kind are captured as they are, to be read later.
inline json_t *
written (const json_t *inputs)
{
  json_t *out = json_object ();
  each (inputs, "jobs", [&] (const std::string &name, json_t *item) { write_job (out, name, item); });
  write_lease_rows (out);
  write_batch (out, inputs);
  write_commands (out);
  write_cloud_calls (out);
  each (inputs, "peer_heartbeats", [&] (const std::string &name, json_t *item) {
    g_autoptr (FtPeerHeartbeat) heartbeat = peer_heartbeat_of (item);
    add (out, name, ft_peer_heartbeat_body (heartbeat));
  });
  each (inputs, "settings", [&] (const std::string &name, json_t *item) { write_settings (out, name, item); });
  each (inputs, "worker_heartbeats",
        [&] (const std::string &name, json_t *item) { add (out, name, json_incref (item)); });
  return out;
}

} // namespace wire_capture
