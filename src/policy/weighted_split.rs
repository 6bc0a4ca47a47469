//! Divides the requests of a route among services by weight.
//!
//! Answers configured splits with few requests: shares stay within one request of their weights at
//! every moment, where independent draws would wander.

use std::collections::HashMap;
use std::sync::Arc;

use smallvec::SmallVec;

/// What each part of each split route is due, by the name of the route.
#[derive(Clone, Debug, Default)]
pub struct WeightedSplit {
    due: HashMap<Arc<str>, SmallVec<[f64; 4]>>,
}

impl WeightedSplit {
    /// The index of the part that takes the next request of `route`: the one furthest behind.
    ///
    /// ```
    /// use lentilway::policy::weighted_split::WeightedSplit;
    /// let mut split = WeightedSplit::default();
    /// let route = "prices".into();
    /// let firsts = (0..10).filter(|_| split.choose(&route, &[9, 1]) == 0).count();
    /// assert_eq!(firsts, 9);
    /// ```
    pub fn choose(&mut self, route: &Arc<str>, weights: &[u32]) -> usize {
        let total: u32 = weights.iter().sum();
        if weights.len() < 2 || total == 0 {
            return 0;
        }
        if self.due.get(route).is_none_or(|due| due.len() != weights.len()) {
            self.due.insert(route.clone(), SmallVec::from_elem(0.0, weights.len()));
        }
        let due = self.due.get_mut(route).expect("the entry was made above");
        for (due, weight) in due.iter_mut().zip(weights) {
            *due += f64::from(*weight) / f64::from(total);
        }
        let furthest = |a: &usize, b: &usize| due[*a].total_cmp(&due[*b]);
        let chosen = (0..weights.len()).max_by(furthest).unwrap_or(0);
        due[chosen] -= 1.0;
        chosen
    }
}
