//! Opaque handles by which a backend server attaches sub-calls to the request it runs.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use rand::Rng;

use super::allowance::RetryAllowance;
use super::context::RequestContext;
use super::tracker::CallTracker;
use crate::clock::MilliTime;

/// What a handle stands for while its request runs.
#[derive(Clone, Debug)]
pub struct HandleBinding {
    /// The request's context at this daemon.
    pub context: RequestContext,
    /// When the request must have ended.
    pub deadline: MilliTime,
    /// Retries that the request's sub-calls share.
    pub allowance: Arc<RetryAllowance>,
    /// What the request's sub-calls have shown.
    pub tracker: Arc<CallTracker>,
}

/// The handles of requests that run at this daemon's backend server.
#[derive(Debug, Default)]
pub struct HandleTable {
    bindings: Mutex<HashMap<u128, HandleBinding>>,
}

/// A live handle; it dies when this value is dropped.
#[derive(Debug)]
pub struct ContextHandle {
    table: Arc<HandleTable>,
    token: u128,
}

impl ContextHandle {
    /// Mints a handle for a request.
    pub fn issue(table: &Arc<HandleTable>, binding: HandleBinding) -> Self {
        let token = rand::rng().random();
        table.bindings.lock().expect("no holder panics").insert(token, binding);
        ContextHandle { table: table.clone(), token }
    }

    /// The handle as the backend server sees it.
    pub fn text(&self) -> String {
        format!("{:032x}", self.token)
    }
}

impl Drop for ContextHandle {
    fn drop(&mut self) {
        self.table.bindings.lock().expect("no holder panics").remove(&self.token);
    }
}

impl HandleTable {
    /// What the handle stands for, if its request is still running here.
    pub fn resolve(&self, text: &str) -> Option<HandleBinding> {
        let token = u128::from_str_radix(text, 16).ok()?;
        self.bindings.lock().expect("no holder panics").get(&token).cloned()
    }
}
