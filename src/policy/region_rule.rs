//! Whether a request may run in a region.
//!
//! Handles routes and organisations whose requests must stay in some regions. Both restrictions
//! apply to a request, so that it may run nowhere if no region is in both.

use std::sync::Arc;

/// The regions in which a request may run.
#[derive(Clone, Copy, Debug, Default)]
pub struct RegionRule<'a> {
    /// Those of its route; any region if empty.
    pub route: &'a [Arc<str>],
    /// Those of its organisation; any region if empty.
    pub organisation: &'a [Arc<str>],
}

impl RegionRule<'_> {
    /// Whether some region may be excluded.
    pub fn is_restricted(&self) -> bool {
        !self.route.is_empty() || !self.organisation.is_empty()
    }

    /// Whether the request may run in `region`; `None` if it is not known, which excludes it.
    ///
    /// ```
    /// use std::sync::Arc;
    /// use lentilway::policy::region_rule::RegionRule;
    /// let (north, south): (Arc<str>, Arc<str>) = ("north".into(), "south".into());
    /// let both = [north.clone(), south];
    /// let rule = RegionRule { route: &both, organisation: &[north] };
    /// assert!(rule.allows(Some("north")));
    /// assert!(!rule.allows(Some("south")));
    /// assert!(!rule.allows(None));
    /// assert!(RegionRule::default().allows(None));
    /// ```
    pub fn allows(&self, region: Option<&str>) -> bool {
        let is_allowed = |regions: &[Arc<str>]| {
            regions.is_empty() || regions.iter().any(|allowed| Some(&**allowed) == region)
        };
        is_allowed(self.route) && is_allowed(self.organisation)
    }
}
