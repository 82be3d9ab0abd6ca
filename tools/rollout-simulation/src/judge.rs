//! Who votes: the module as it is with and without stated rates, and what others do, as baselines.

use magpieline::interface::{Ending, Named, Value, Verdict};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Judge {
    /// The module without stated rates.
    Earlier,
    /// The module with them.
    Stated,
    /// Nobody: stages move by their least time.
    Clock,
    /// One look at a fixed number of outcomes in each stage.
    Window,
    /// Wald's sequential test of two simple hypotheses, with the usual rate known beforehand: the bound in time.
    Wald,
}

pub const JUDGES: [(&str, Judge); 5] = [
    ("earlier", Judge::Earlier),
    ("stated", Judge::Stated),
    ("clock", Judge::Clock),
    ("window", Judge::Window),
    ("wald", Judge::Wald),
];

/// The rates that all judges are asked for.
pub const GOOD_SENT_BACK: f64 = 0.01;
pub const BAD_CARRIED: f64 = 0.05;
/// What the nodes of a build that turns late have to have run for: the rig's own latest, and half a second.
const SHOWS_AFTER: f64 = 11.5;

/// The least share of a bad build's answers that is complained of: a third of 3%.
const COMPLAINED: f64 = 0.01;

impl Judge {
    pub fn terms(self, named: &mut Named) {
        if self == Judge::Stated {
            let terms = [
                ("good_sent_back", GOOD_SENT_BACK),
                ("bad_carried", BAD_CARRIED),
            ];
            let kinds = [
                ("shows_after_s", SHOWS_AFTER),
                ("bad_complaints", COMPLAINED),
                ("complaints_late_s", 4.0),
            ];
            for (name, value) in terms.into_iter().chain(kinds) {
                named.insert(format!("verdict.{name}"), Value::Number(value));
            }
        }
    }
}

/// What a baseline sees of the outcomes in one stage: earlier, trial.
#[derive(Clone, Copy, Default)]
pub struct Seen {
    pub n: [f64; 2],
    pub errors: [f64; 2],
    wald: f64,
}

impl Seen {
    pub fn add(&mut self, trial: bool, ending: Ending) {
        let error = f64::from(u8::from(ending != Ending::Delivered));
        self.n[usize::from(trial)] += 1.0;
        self.errors[usize::from(trial)] += error;
        if trial {
            // The mildest bad rate against a usual one of five in ten thousand.
            let (good, bad): (f64, f64) = (0.0005, 0.04);
            self.wald +=
                error * (bad / good).ln() + (1.0 - error) * ((1.0 - bad) / (1.0 - good)).ln();
        }
    }

    /// What a baseline votes now.
    pub fn vote(&self, judge: Judge, ripe: bool) -> Verdict {
        match judge {
            Judge::Clock if ripe => Verdict::On,
            Judge::Wald if self.wald >= ((1.0 - BAD_CARRIED) / GOOD_SENT_BACK).ln() => {
                Verdict::Back
            }
            Judge::Wald if ripe && self.wald <= (BAD_CARRIED / (1.0 - GOOD_SENT_BACK)).ln() => {
                Verdict::On
            }
            // A hundred outcomes, then a test of two shares at one in a hundred (2.33 standard errors).
            Judge::Window if ripe && self.n[1] >= 100.0 => {
                let share = |i: usize| self.errors[i] / self.n[i].max(1.0);
                let both = (self.errors[0] + self.errors[1]) / (self.n[0] + self.n[1]);
                let error =
                    (both * (1.0 - both) * (1.0 / self.n[0].max(1.0) + 1.0 / self.n[1])).sqrt();
                if share(1) - share(0) > 2.33 * error && self.errors[1] > 0.0 {
                    Verdict::Back
                } else {
                    Verdict::On
                }
            }
            _ => Verdict::Clear,
        }
    }
}
