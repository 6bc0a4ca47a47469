//! Admission of a caller's request: the organisation's rate, the short services, and the start pace.

use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::handler::IdentifiedRequest;
use super::paced_root::PacedRoot;
use super::response::RequestRefusal;
use crate::error::ResultCode;
use crate::policy::caller_retry::{retry_delay, token_retry_delay};
use crate::policy::fair_share::FairClaimant;
use crate::policy::retry_allowance::hash_fraction;
use crate::policy::root_admission::{RootDecision, RootGroup, RootLimit};
use crate::policy::route_success::RECOVERY_TIME;
use crate::policy::start_pace::PACE_RETRY_AFTER;
use crate::policy::token_priority::TokenUrgency;
use crate::sidecar::process::sidecar_shared::SidecarShared;
use crate::sidecar::version::fleet_config::FleetOrganisation;

/// Takes a token of the organisation's rate.
pub(super) async fn check_quota(
    shared: &SidecarShared,
    organisation: &FleetOrganisation,
    identified: &IdentifiedRequest,
) -> Result<(), RequestRefusal> {
    let urgency = TokenUrgency::of(identified.rank, identified.is_retry);
    let demand = token_demand(shared, identified);
    let Err(refused) = shared.quota.admit(shared, organisation, urgency, demand).await else {
        return Ok(());
    };
    shared.metrics.count(match refused.is_cut_off {
        true => "rate_refused_for_urgent",
        false => "rate_refused_no_token",
    });
    let reason = shared.quota.describe(organisation);
    let refusal = RequestRefusal::new(ResultCode::RateExceeded, reason);
    let Some(tokens_in) = refused.tokens_in else {
        return Err(refusal.retry_after(caller_retry_delay(shared, identified, None)));
    };
    let remaining = identified.deadline.until(shared.clock.now());
    let delay = token_retry_delay(remaining, tokens_in, rand::random::<f64>());
    Err(refusal.retry_after(delay))
}

/// The probability that a root keeps its token: one that is refused for another reason returns it.
fn token_demand(shared: &SidecarShared, identified: &IdentifiedRequest) -> f32 {
    let is_failing = !identified.is_retry && {
        let mut success = shared.route_success.lock().expect("lock not poisoned");
        success.refuse(shared.clock.now(), &identified.route.name, 1.0).is_some()
    };
    if is_failing {
        return 0.0;
    }
    let admission = shared.root_admission.lock().expect("lock not poisoned");
    admission.group_fraction(&root_group(identified), identified.is_retry) as f32
}

/// Admits a root if recent runs of its route succeeded and the services it calls have capacity;
/// returns whether it is entitled to retries that are short.
pub(super) fn admit_root(
    shared: &SidecarShared,
    identified: &IdentifiedRequest,
    request: &str,
) -> Result<bool, RequestRefusal> {
    let now = shared.clock.now();
    let success_fraction = match identified.is_retry {
        true => None,
        false => {
            let mut success = shared.route_success.lock().expect("lock not poisoned");
            success.refuse(now, &identified.route.name, rand::random::<f64>())
        }
    };
    if let Some(fraction) = success_fraction {
        let reason = format!("{:.0}% of recent runs of the route succeeded", fraction * 100.0);
        return Err(refuse_root(shared, identified, reason, Some(RECOVERY_TIME)));
    }
    // Roots with a low hash are also preferred where their calls need retries.
    let draw = hash_fraction(xxh3_64(request.as_bytes()));
    let group = root_group(identified);
    let claimant = identified.organisation.as_ref().map(|found| FairClaimant {
        organisation: &found.name,
        rate: found.rate.map(|terms| terms.per_second),
    });
    let mut admission = shared.root_admission.lock().expect("lock not poisoned");
    let decision = admission.admit_for(now, &group, claimant, identified.is_retry, draw);
    drop(admission);
    let (service, limit, fraction, is_above_share) = match decision {
        RootDecision::Admit { is_entitled } => return Ok(is_entitled),
        RootDecision::Refuse { service, limit, fraction, is_above_share } => {
            (service, limit, fraction, is_above_share)
        }
    };
    let of_organisation = if is_above_share { " of the organisation" } else { "" };
    shared.metrics.count(match is_above_share {
        true => "root_refused_above_share",
        false => "root_refused_short",
    });
    let kind = if identified.is_retry { "returns" } else { "first tries" };
    let (problem, capacity_in) = match limit {
        RootLimit::Slots => ("is full", None),
        RootLimit::Retries => ("refuses requests", Some(RECOVERY_TIME)),
    };
    let reason = format!(
        "{service} {problem}: {:.0}% of the {kind}{of_organisation} are admitted",
        fraction * 100.0
    );
    Err(refuse_root(shared, identified, reason, capacity_in))
}

/// Admits a root to those in flight while this daemon has just started.
pub(super) fn admit_paced(
    shared: &Arc<SidecarShared>,
    identified: &IdentifiedRequest,
) -> Result<PacedRoot, RequestRefusal> {
    PacedRoot::admit(shared, &identified.route.name).ok_or_else(|| {
        let reason = "this daemon has just started and as many roots are in flight as it allows";
        refuse_root(shared, identified, reason.to_owned(), Some(PACE_RETRY_AFTER))
    })
}

fn refuse_root(
    shared: &SidecarShared,
    identified: &IdentifiedRequest,
    reason: String,
    capacity_in: Option<Duration>,
) -> RequestRefusal {
    if let Some(organisation) = &identified.organisation {
        shared.quota.refund(organisation);
    }
    let refusal = RequestRefusal::new(ResultCode::Overloaded, reason);
    refusal.retry_after(caller_retry_delay(shared, identified, capacity_in))
}

fn root_group(identified: &IdentifiedRequest) -> RootGroup {
    RootGroup { route: identified.route.name.clone(), priority: identified.rank.priority }
}

/// The delay after which the caller should retry; `capacity_in` if the refusing side expects capacity.
pub(super) fn caller_retry_delay(
    shared: &SidecarShared,
    identified: &IdentifiedRequest,
    capacity_in: Option<Duration>,
) -> Duration {
    let remaining = identified.deadline.until(shared.clock.now());
    retry_delay(remaining, capacity_in, rand::random::<f64>())
}
