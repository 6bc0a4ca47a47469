//! Divides the requests of a route among services by weight.
//!
//! Handles splits of few requests: unlike with independent random draws, the counts always stay
//! within one request of the weights.

use std::collections::HashMap;
use std::sync::Arc;

use smallvec::SmallVec;

/// Credit of each service of each split route, in requests, by the name of the route.
#[derive(Clone, Debug, Default)]
pub struct WeightedSplit {
    credit: HashMap<Arc<str>, SmallVec<[f64; 4]>>,
}

impl WeightedSplit {
    /// The index of the service that gets the next request of `route`: the one with the most
    /// credit.
    ///
    /// ```
    /// use lentilway::policy::weighted_split::WeightedSplit;
    /// let mut split = WeightedSplit::default();
    /// let route = "prices".into();
    /// let firsts = (0..10).filter(|_| split.choose(&route, &[9, 1]) == 0).count();
    /// assert_eq!(firsts, 9);
    /// ```
    pub fn choose(&mut self, route: &Arc<str>, weights: &[u32]) -> usize {
        let total: f64 = weights.iter().map(|weight| f64::from(*weight)).sum();
        if weights.len() < 2 || total == 0.0 {
            return 0;
        }
        if self.credit.get(route).is_none_or(|credit| credit.len() != weights.len()) {
            self.credit.insert(route.clone(), SmallVec::from_elem(0.0, weights.len()));
        }
        let credit = self.credit.get_mut(route).expect("the entry was inserted above");
        for (credit, weight) in credit.iter_mut().zip(weights) {
            *credit += f64::from(*weight) / total;
        }
        let by_credit = |a: &usize, b: &usize| credit[*a].total_cmp(&credit[*b]);
        let chosen = (0..weights.len()).max_by(by_credit).unwrap_or(0);
        credit[chosen] -= 1.0;
        chosen
    }
}
