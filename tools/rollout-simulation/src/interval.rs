//! Rates with their exact interval.

use statrs::distribution::{Beta, ContinuousCDF};

/// The interval of Clopper and Pearson around `hits` of `runs`, at 95%.
pub fn exact(hits: usize, runs: usize) -> (f64, f64) {
    let (k, n) = (hits as f64, runs as f64);
    let at = |a: f64, b: f64, p: f64| Beta::new(a, b).map_or(f64::NAN, |beta| beta.inverse_cdf(p));
    let low = if hits == 0 {
        0.0
    } else {
        at(k, n - k + 1.0, 0.025)
    };
    let high = if hits >= runs {
        1.0
    } else {
        at(k + 1.0, n - k, 0.975)
    };
    (low, high)
}

#[cfg(test)]
mod tests;
