//! Request processing: contexts, retry allowances, handles, answers, and the serving of calls.

pub mod admission;
pub mod allowance;
pub mod answer;
pub mod call;
pub mod context;
pub mod credential;
pub mod entry;
pub mod fraction;
pub mod handle;
pub mod header;
pub mod incoming;
pub mod local;
pub(crate) mod plain_relay;
pub mod relay;
pub mod report;
pub mod resend;
pub mod sub_call;
pub mod tracker;
