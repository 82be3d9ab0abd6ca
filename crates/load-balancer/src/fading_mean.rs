//! A moving average that is forgotten while no samples come.
//!
//! Who is chosen depends on such averages, and only who is chosen brings samples. An average that kept its value would keep an
//! endpoint, or all of a service, from being chosen for ever; one that fades lets it be tried again.

use crate::Micros;

/// How an average learns and forgets.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FadingMeanParameters {
    /// The weight of a new sample, 0 to 1.
    pub(crate) gain: f64,
    /// Without samples the average is half forgotten after this, in microseconds.
    pub(crate) half_life: f64,
}

/// An exponentially weighted moving average that fades to 0.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FadingMean {
    parameters: FadingMeanParameters,
    /// As of the last sample.
    value: f64,
    sampled_at: Micros,
}

impl FadingMean {
    /// Creates one that is 0.
    pub(crate) fn new(parameters: FadingMeanParameters) -> FadingMean {
        FadingMean {
            parameters,
            value: 0.0,
            sampled_at: 0,
        }
    }

    /// Returns what is remembered of the average.
    pub(crate) fn at(&self, now: Micros) -> f64 {
        if self.value == 0.0 {
            return 0.0;
        }
        let age = now.saturating_sub(self.sampled_at) as f64;
        self.value * 0.5f64.powf(age / self.parameters.half_life)
    }

    /// Takes a sample. What has faded counts again if the sample is closer to the full average than to what is remembered: an
    /// endpoint that is tried and fails once more is not taken for half as bad as before.
    pub(crate) fn add(&mut self, now: Micros, sample: f64) {
        let remembered = self.at(now);
        let is_borne_out = (sample - self.value).abs() < (sample - remembered).abs();
        let known = if is_borne_out { self.value } else { remembered };
        self.value = known + self.parameters.gain * (sample - known);
        self.sampled_at = now;
    }
}
