//! Opaque handles with which a backend server links sub-calls to the request that it runs.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use rand::Rng;

use super::allowance::RequestAllowance;
use super::context::RequestContext;
use super::tracker::CallTracker;
use crate::clock::MilliTime;

/// The request state that a handle refers to while the request runs.
#[derive(Clone, Debug)]
pub struct HandleBinding {
    /// The request's context at this daemon.
    pub context: RequestContext,
    /// Deadline of the request.
    pub deadline: MilliTime,
    /// Retry allowance shared by the request's sub-calls.
    pub allowance: Arc<RequestAllowance>,
    /// Failures and shed feedback of the request's sub-calls.
    pub tracker: Arc<CallTracker>,
}

/// The handles of requests that are running at this daemon's backend server.
#[derive(Debug, Default)]
pub struct HandleTable {
    bindings: Mutex<HashMap<u128, HandleBinding>>,
}

/// A valid handle; dropping it invalidates the handle.
#[derive(Debug)]
pub struct ContextHandle {
    table: Arc<HandleTable>,
    token: u128,
}

impl ContextHandle {
    /// Issues a random handle for a request.
    pub fn issue(table: &Arc<HandleTable>, binding: HandleBinding) -> Self {
        let token = rand::rng().random();
        table.bindings.lock().expect("lock not poisoned").insert(token, binding);
        ContextHandle { table: table.clone(), token }
    }

    /// The handle in the text form sent to the backend server.
    pub fn text(&self) -> String {
        format!("{:032x}", self.token)
    }
}

impl Drop for ContextHandle {
    fn drop(&mut self) {
        self.table.bindings.lock().expect("lock not poisoned").remove(&self.token);
    }
}

impl HandleTable {
    /// Looks up a handle; none if its request is not running here.
    pub fn resolve(&self, text: &str) -> Option<HandleBinding> {
        let token = u128::from_str_radix(text, 16).ok()?;
        self.bindings.lock().expect("lock not poisoned").get(&token).cloned()
    }
}
