//! Overload and fault policies against replayed load.

mod admission_queue;
mod backend_notice;
mod backend_pace;
mod caller_retry;
mod crash_ledger;
mod exchanges;
mod incarnation;
mod limits;
mod link_subset;
mod model;
mod placement;
mod placement_replay;
mod read_backoff;
mod read_schedule;
mod restore_hold;
mod retries;
mod roots;
mod shed;
mod slow_start;
mod stop_schedule;
mod token_surge;
mod tokens;
mod topic_position;
mod zone_evacuation;
