//! The `split` module provides the division of a route's requests among services by weight.

/// Smooth weighted round robin.
///
/// It is exact over any span, so that a VM with few requests keeps to the weights as well as one with many.
#[derive(Clone, Debug, Default)]
pub struct WeightedRoundRobin {
    current: Vec<i64>,
}

impl WeightedRoundRobin {
    /// Returns the position of the next part; `weights` has one entry per part.
    pub fn next(&mut self, weights: &[u32]) -> usize {
        if self.current.len() != weights.len() {
            self.current = vec![0; weights.len()];
        }
        let total: i64 = weights.iter().map(|weight| i64::from(*weight)).sum();
        for (current, weight) in self.current.iter_mut().zip(weights) {
            *current += i64::from(*weight);
        }
        let chosen = (0..weights.len())
            .max_by_key(|index| (self.current[*index], std::cmp::Reverse(*index)))
            .unwrap_or(0);
        if let Some(current) = self.current.get_mut(chosen) {
            *current -= total;
        }
        chosen
    }
}
