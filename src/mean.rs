//! A plain mean.

/// A sum of figures and their number.
#[derive(Clone, Debug, Default)]
pub(crate) struct Mean {
    sum: f64,
    count: f64,
}

impl Mean {
    pub(crate) fn add(&mut self, x: f64) {
        self.sum += x;
        self.count += 1.0;
    }

    /// None without any figure.
    pub(crate) fn get(&self) -> Option<f64> {
        (self.count > 0.0).then(|| self.sum / self.count)
    }
}
