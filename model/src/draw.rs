//! Everything that is drawn, from one seed each.

use crate::Time;
use crate::scenario::Range;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp1};
use rand_pcg::Pcg64Mcg;

/// A seeded source of what is drawn.
#[derive(Clone, Debug)]
pub struct Draw(Pcg64Mcg);

impl Draw {
    /// One of its own for each purpose: the same seed and purpose give the same figures.
    pub fn new(seed: u64, purpose: u64) -> Self {
        // A splitmix step keeps neighbouring seeds apart.
        let mut z = seed.wrapping_add(purpose.wrapping_mul(0x9e37_79b9_7f4a_7c15)).wrapping_add(1);
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        Draw(Pcg64Mcg::seed_from_u64(z ^ (z >> 31)))
    }

    /// From 0 up to 1.
    pub fn unit(&mut self) -> f64 {
        self.0.random::<f64>()
    }

    /// Any number.
    pub fn number(&mut self) -> u64 {
        self.0.random::<u64>()
    }

    /// Evenly between two figures.
    pub fn between(&mut self, range: Range) -> f64 {
        range[0] + (range[1] - range[0]) * self.unit()
    }

    /// Milliseconds evenly between two figures, in microseconds.
    pub fn ms(&mut self, range: Range) -> Time {
        crate::scenario::ms(self.between(range))
    }

    /// Exponential with this mean.
    pub fn wait(&mut self, mean: f64) -> f64 {
        let one: f64 = Exp1.sample(&mut self.0);
        one * mean
    }

    /// True in this share of the draws.
    pub fn chance(&mut self, share: f64) -> bool {
        self.unit() < share
    }

    /// The number of one of the weights, in proportion to them; 0 where all are 0.
    pub fn weighted(&mut self, weights: &[f64]) -> usize {
        let mut left = self.unit() * weights.iter().sum::<f64>();
        for (i, weight) in weights.iter().enumerate() {
            if left < *weight {
                return i;
            }
            left -= weight;
        }
        weights.iter().rposition(|w| *w > 0.0).unwrap_or(0)
    }
}
