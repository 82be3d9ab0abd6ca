//! What operators state: two rates, what is good and bad, and how the rates are divided. All of it in one place,
//! so that it can be seen to add up.

/// The stated rates and margins. Shares are of 1, times in seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Terms {
    /// Of good releases, at most this share is sent back: over the whole release, all looks, all stages, all
    /// agents whose votes count.
    pub good_sent_back: f64,
    /// Of bad releases, at most this share is carried past the last stage.
    pub bad_carried: f64,
    /// A good build fails at most this share of the hits that the earlier one would have served.
    pub good_errors: f64,
    /// A bad build fails at least this share of them, over all path groups together,
    pub bad_errors: f64,
    /// or at least this one in one path group,
    pub bad_group: f64,
    /// or takes this many times as long at equal load, where a good one takes at most `good_slower` times.
    pub bad_slower: f64,
    pub good_slower: f64,
    /// Of a good build's answers at most this share is complained of beyond what is usual.
    pub good_complaints: f64,
    /// Of a bad build's answers at least this share is complained of; 0: complaints are not waited for.
    pub bad_complaints: f64,
    /// Nearly all complaints come within this time of their answers.
    pub complaints_late: f64,
    /// A build shows what it is once its nodes have run this long; 0: at once.
    pub shows_after: f64,
    /// No trouble that meets all nodes alike lasts longer: what only the past can tell has to outlast it.
    pub shared_lasts: f64,
    /// While fewer than three nodes run the trial, a sick one can't be told from its build: it condemns the build
    /// (true), or a vote back waits for the third.
    pub lone_condemns: bool,
    /// After this long in a stage without enough evidence the fallback holds.
    pub patience: f64,
    /// The fallback votes on (true) or goes on waiting.
    pub fallback_on: bool,
}

/// Who votes: how many agents, how many of them send a build back, how many move it on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Voters {
    pub all: f64,
    pub back: f64,
    pub on: f64,
}

/// What is looked at for a vote back. Their shares of the rate add up to one.
pub const ERRORS: f64 = 0.45;
pub const WORK: f64 = 0.2;
pub const COMPLAINTS: f64 = 0.1;
/// Errors after the release, when only the past is left to compare with.
pub const PAST: f64 = 0.1;
/// A slowdown of all nodes that goes when the trial's traffic does.
pub const PAUSES: f64 = 0.15;

impl Default for Terms {
    fn default() -> Terms {
        Terms {
            good_sent_back: 0.01,
            bad_carried: 0.05,
            good_errors: 0.005, // a few in a thousand are not worth a release
            bad_errors: 0.04,
            bad_group: 0.25,
            good_slower: 1.35,
            bad_slower: 1.7,
            good_complaints: 0.003,
            bad_complaints: 0.0,
            complaints_late: 5.0,
            shows_after: 0.0,
            shared_lasts: 15.0,
            lone_condemns: true,
            patience: 60.0,
            fallback_on: false,
        }
    }
}

/// What can be stated: the name, the least and the largest value that make sense.
type Row = (&'static str, f64, f64, fn(&mut Terms) -> &mut f64);

const ROWS: [Row; 13] = [
    ("good_sent_back", 1e-6, 0.5, |t| &mut t.good_sent_back),
    ("bad_carried", 1e-6, 0.5, |t| &mut t.bad_carried),
    ("good_errors", 0.0, 0.5, |t| &mut t.good_errors),
    ("bad_errors", 0.001, 0.9, |t| &mut t.bad_errors),
    ("bad_group", 0.001, 0.95, |t| &mut t.bad_group),
    ("good_slower", 1.0, 100.0, |t| &mut t.good_slower),
    ("bad_slower", 1.0, 100.0, |t| &mut t.bad_slower),
    ("good_complaints", 0.0, 0.5, |t| &mut t.good_complaints),
    ("bad_complaints", 0.0, 0.9, |t| &mut t.bad_complaints),
    ("complaints_late_s", 0.0, 3600.0, |t| &mut t.complaints_late),
    ("shows_after_s", 0.0, 86_400.0, |t| &mut t.shows_after),
    ("shared_lasts_s", 0.0, 86_400.0, |t| &mut t.shared_lasts),
    ("patience_s", 0.0, 86_400.0, |t| &mut t.patience),
];

/// What is stated by one of two words, the second meaning true.
type Choice = (&'static str, [&'static str; 2], fn(&mut Terms) -> &mut bool);

const WORDS: [Choice; 2] = [
    ("fallback", ["wait", "on"], |t| &mut t.fallback_on),
    ("lone_node", ["waits", "condemns"], |t| &mut t.lone_condemns),
];

impl Terms {
    /// Reads terms by name from wherever they are kept. `None` where `good_sent_back` and `bad_carried` are both
    /// absent: nothing is stated then. An error lists all that is wrong, each with what was expected.
    pub fn read<'a>(
        number: impl Fn(&str) -> Option<f64>,
        word: impl Fn(&str) -> &'a str,
    ) -> Result<Option<Terms>, String> {
        let (mut terms, mut wrong) = (Terms::default(), Vec::new());
        for (name, least, most, place) in ROWS {
            match number(name) {
                Some(value) if (least..=most).contains(&value) => *place(&mut terms) = value,
                Some(value) => {
                    wrong.push(format!("{name}: found {value}, expected {least} to {most}"))
                }
                None => {}
            }
        }
        for (name, words, place) in WORDS {
            match word(name) {
                "" => {}
                found if words.contains(&found) => *place(&mut terms) = found == words[1],
                found => wrong.push(format!(
                    "{name}: found {found}, expected {} or {}",
                    words[0], words[1]
                )),
            }
        }
        if terms.good_errors >= terms.bad_errors {
            wrong.push("good_errors: expected less than bad_errors".into());
        }
        if terms.bad_errors > terms.bad_group {
            wrong.push("bad_group: expected bad_errors or more".into());
        }
        if terms.bad_complaints > 0.0 && terms.bad_complaints <= terms.good_complaints {
            wrong.push("bad_complaints: expected 0 or more than good_complaints".into());
        }
        if terms.good_slower >= terms.bad_slower {
            wrong.push("good_slower: expected less than bad_slower".into());
        }
        let stated = number("good_sent_back").is_some() || number("bad_carried").is_some();
        if wrong.is_empty() {
            Ok(stated.then_some(terms))
        } else {
            Err(wrong.join("; "))
        }
    }

    /// The rate at which one agent may be wrong when it votes back. If each of n agents is wrong at a rate p,
    /// dependent or not, then k of them are at a rate of n p / k at most (Markov's inequality).
    pub fn back_rate(&self, voters: Voters) -> f64 {
        (self.good_sent_back * (voters.back / voters.all).min(1.0)).min(1.0)
    }

    /// The same for a vote on. Each kind of bad build has a process of its own and all of them have to agree, so
    /// nothing is divided among the kinds.
    pub fn on_rate(&self, voters: Voters) -> f64 {
        (self.bad_carried * (voters.on / voters.all).min(1.0)).min(1.0)
    }
}
