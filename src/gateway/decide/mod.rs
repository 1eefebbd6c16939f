//! Decision logic of the gateway: functions and state machines without I/O. Callers pass in the
//! current time and random numbers.

mod admission;
mod backlog;
mod backoff;
mod cache;
mod capacity;
mod clock;
mod cooldown;
mod crashes;
mod durable_state;
mod engine;
mod fan_out;
mod gossip;
mod intake;
mod knowledge;
mod leaving;
mod limit_queue;
mod mechanism;
mod need;
mod noticed_work;
mod order_pacer;
mod orders;
mod outcomes;
mod peak;
mod placement;
mod predicted_service;
mod quota;
mod rate_limit;
mod reading;
mod removal;
mod reporting;
mod request_cost;
mod retry;
mod rollout;
mod room;
mod row_check;
mod speed;
mod store_stability;
mod stored_windows;
mod stream_journal;
mod stream_versions;
mod tunnel_peers;
mod unread;
mod upstream_health;
mod upstream_paths;
mod upstream_speed;
mod usage;
mod usual_budget;
mod version_record;
mod window_sum;
mod work;
mod work_notices;

pub use admission::{
    Admission, AdmissionRequest, RefusalReason, ServiceRanks, decide, max_wait,
    stream_abandoned_after,
};
pub use backlog::Backlog;
pub use backoff::Backoff;
pub use cache::PrefixCacheEstimate;
pub use capacity::{
    CapacityInput, CapacityPolicy, DesiredEngines, Fleet, min_engines_at_start, plan_engines,
};
pub use clock::PeerCorrectedClock;
pub use cooldown::CooldownTracker;
pub use crashes::{
    CopyReport, CrashGossip, CrashTracker, CrashVerdict, InterruptedAttempt, InterruptedAttempts,
    PROVEN_WRITING, PartChange, PartGossip, PartReport, PartTracker, Permission, QuarantineChange,
    SuspectReport, TrialTurn, VerdictReport,
};
pub use durable_state::{CapacityRecord, DurableState, StateError};
pub use engine::{Candidate, choose_engine, choose_fewest_running, predicted_wait};
pub use fan_out::{
    HEARTBEAT_FAN_OUT, MAX_FAR_DATAGRAM_BYTES, MAX_NEAR_DATAGRAM_BYTES, MAX_RELAY_AGE,
    ReceiverCount, choose_receiver_count, receivers_per_data_centre, relay_order,
    rotating_receivers,
};
pub use intake::{HolderId, IntakeAccount, IntakeLimits};
pub use knowledge::{KNOWLEDGE_OLD_AFTER, StoreClock, StoreMillis, SyncPoint};
pub use leaving::{LeavingReport, LeavingTracker};
pub use mechanism::{DisabledMechanisms, Mechanism};
pub use need::{
    LoadMeter, Occupancy, RequestCost, ServiceLoad, engines_needed, mean_cost, occupancy,
};
pub use noticed_work::{IgnoredNotice, NoticedRequest, NoticedWork};
pub use order_pacer::{OrderPacer, OrderPacerInput, OrderState};
pub use orders::{EngineOrders, OrderKey, OrderReport};
pub use outcomes::{OutcomeMeter, Outcomes};
pub use peak::{Need, NeedMeter, NeedPeak};
pub use placement::{Comparison, CostTerms, Placement, PlacementCandidate, place, placement_cost};
pub use predicted_service::{PredictedService, slot_wait};
pub use quota::{PeerTotal, QuotaLimiter, QuotaPolicy, QuotaShare, QuotaUsedUp, RankedRequest};
pub use rate_limit::{
    GRANT_RETRY_DELAY, GrantAnswer, LimitAnnouncement, LimitMembers, LimitReport, RateLimiter,
    ShareHolder,
};
pub use reading::{
    READER_COUNT, ReadAction, ReaderCandidate, max_read_interval, next_read_action, reader_rank,
    startup_read_delay,
};
pub use removal::{Removal, RowCount, rows_lapsed};
pub use reporting::{heartbeats_per_report, wait_after_takeover};
pub use request_cost::{
    AgedWork, CostBasis, CostModel, CostPrediction, CostReport, FinishedStream, GroupKey,
    GroupSums, Groups, LogNormal, LogSums, MAX_GROUPS, MAX_REPORTED_GROUPS, MemoryFit, PromptSize,
    ReportedCosts, RequestFacts, RequestProgress, RunningId, RunningRequests, SUMS_DECAY,
    memory_fit,
};
pub use retry::{RetryPolicy, ServiceRetryBudgets};
pub use rollout::{
    AnswerCount, AnswerRow, ExposureContext, ExposureTerms, Findings, GatewayCounts,
    RolloutBlocker, RolloutChange, RolloutEnd, RolloutOrder, RolloutReport, RolloutStage,
    RolloutTracker, RolloutView, RouteKey, SentRow, TypicalTimes, VersionGroup,
};
pub use room::{GrantId, RoomGrants};
pub use row_check::{CHECK_RETRY_DELAY, CheckRange, CheckResult};
pub use speed::{EngineSpeed, FirstTokenSample, SpeedModel};
pub use store_stability::{StoreStability, is_unbroken_since};
pub use stored_windows::StoredWindows;
pub use stream_journal::{
    BegunStream, MAX_BATCH_STREAMS, StreamBatch, StreamJournal, batch_interval,
};
pub use stream_versions::{
    STREAM_LIFETIME, ServedVersions, StreamVersions, VersionHistory, VersionKeeper, choose_keepers,
};
pub use tunnel_peers::{TunnelPeers, choose_listed_gateways};
pub use unread::choose_unread;
pub use upstream_health::{AttemptOutcome, UpstreamHealth};
pub use upstream_paths::{PathChange, UpstreamPaths};
pub use upstream_speed::{SampleUse, SpeedSample, SpeedSamples, UpstreamSpeeds};
pub use usage::{ProcessKey, UsageCounters, UsageCounts, WindowNumber};
pub use usual_budget::UsualBudget;
pub use version_record::{
    FIRST_START_TIME, ServiceVersion, SystemStart, UNUSED_VERSION_RETENTION, VersionRecord,
};
pub use window_sum::WindowSum;
pub use work::{PredictedWork, RemainingWork};
pub use work_notices::{MAX_NOTICES_PER_SECOND, NoticeDecision, WorkNoticePacer};
