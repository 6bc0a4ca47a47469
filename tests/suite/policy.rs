//! Overload and fault policies against replayed load.

mod admission_queue;
mod caller_retry;
mod incarnation;
mod link_subset;
mod model;
mod placement;
mod read_schedule;
mod retries;
mod roots;
mod shed;
mod tokens;
