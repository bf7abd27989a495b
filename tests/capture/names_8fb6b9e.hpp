// Maps the current names that wire_capture.hpp uses to the names in commit 8fb6b9e.
#pragma once
extern "C" {
#include "wire/cbor.h"
#include "wire/cloud.h"
#include "wire/heartbeat.h"
#include "wire/messages.h"
#include "wire/store.h"
}

#define HEARTBEAT_INCARNATION session
#define FtPeerHeartbeat FtHeartbeat
#define FtPeerHeartbeatJob FtHeartbeatJob
#define FtTaskStatus FtReportedTask
#define FtWorkerHeartbeat FtReport
#define FT_CLOUD_SCALE_OUT FT_CLOUD_RENT
#define FT_WRITE_CHUNK_DELETE FT_WRITE_CHUNK_DROP
#define FT_WRITE_DRAIN_DELETE FT_WRITE_MARK_DROP
#define FT_WRITE_JOB_STOPPED FT_WRITE_JOB_GONE
#define FT_WRITE_REGISTRY_ROW FT_WRITE_ROSTER
#define FT_WRITE_REGISTRY_ROW_DELETE FT_WRITE_ROSTER_DROP
#define FT_WRITE_WATERMARK FT_WRITE_SENT
#define cancellations withdrawals
#define checkpoint_duration_s save_s
#define checkpoint_interval_s checkpoint_s
#define dependencies awaits
#define dispatch_watermark sent
#define exit_reason why
#define ft_cloud_launched ft_cloud_rented
#define ft_cloud_scale_in_body ft_cloud_return_body
#define ft_cloud_scale_out_body ft_cloud_rent_body
#define ft_key_cancellation ft_key_withdrawn
#define ft_message_worker_heartbeat ft_message_report
#define ft_message_worker_heartbeat_from_cbor ft_message_report_read
#define ft_peer_heartbeat_add_job ft_heartbeat_add_job
#define ft_peer_heartbeat_body ft_heartbeat_body
#define ft_peer_heartbeat_new ft_heartbeat_new
#define ft_peer_heartbeat_parse ft_heartbeat_parse
#define ft_row_cancellation ft_row_withdrawn
#define ft_row_cancellation_time ft_row_withdrawn_at
#define ft_row_open_state_revision ft_row_open_stamp
#define has_dependencies has_needs
#define idempotency_key booking
#define revision stamp
#define supports_dependencies knows_needs
#define watermark sent
