//! The appliances, as listed and as met, and the choice among them.
//!
//! An appliance is chosen by the time that its answer is expected to take: the service's usual time, by how much
//! this one is faster or slower, and what waits there already. What others have in hand there is known from what the
//! appliance itself told with its last answer; between answers it is taken to drift back to the usual.

use crate::Micros;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use slab::Slab;
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::sync::Arc;

/// What an appliance told of others' requests is half forgotten after this: about one request's time.
const DRIFT: f64 = 250_000.0;
/// Until a service has answered, one request is taken to last this long.
const FIRST_GUESS: f64 = 150_000.0;
/// A mean over about thirty answers of a service, eight of an appliance.
const SERVICE_KEEP: f64 = 0.97;
const OWN_KEEP: f64 = 0.88;
/// A cold appliance is taken to be so much slower.
const COLD: f64 = 2.0;
/// Crossing zones costs bytes: a far appliance has to be quicker by this part of a usual time.
const FAR: f64 = 0.5;
/// Agents differ in which of several alike appliances they take first, by this part of a usual time, so that they
/// don't all choose the same idle one at once.
const TASTE: f64 = 0.25;
/// An appliance that owes an answer for so many usual times, at least [`OWES_LEAST`], and has given none since, may be dead.
const OWES: f64 = 4.0;
const OWES_LEAST: Micros = 500_000;
/// A dead one is left alone for this, doubling with each further try.
const SHUN: Micros = 500_000;
const SHUN_MOST: Micros = 4_000_000;
/// One that turned a request away is left alone until about half of its queue is done.
const FULL: Micros = 150_000;
/// Requests that may wait at an appliance beyond those it works on, by the precedence of who asks: what ranks high finds
/// room where the rest is refused already. They "queue a few more"; some never answer what they can't queue, so it is
/// not tried how many.
const WAITING: [f64; 3] = [5.0, 4.0, 3.0];

/// An appliance as listed.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    pub id: Arc<str>,
    pub service: Arc<str>,
    pub address: SocketAddrV4,
    pub zone: Arc<str>,
    pub version: Arc<str>,
    pub berths: u32,
    /// It is about to end.
    pub closing: bool,
    /// Until when it is slow from its start.
    pub cold_until: Micros,
}

/// How a forward ended, as far as it tells of the appliance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign {
    /// A good answer.
    Served,
    /// A failure of its own.
    Failed,
    /// Garbled, cut, or not its own.
    Spoilt,
    TurnedAway,
    NoConnection,
    Broken,
    Silent,
    /// Nothing is said: it was never sent, or was called off.
    Nothing,
}

/// What an appliance told of its load: requests that it works on, that wait, and its berths.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    pub running: u32,
    pub waiting: u32,
    pub berths: u32,
}

/// One appliance.
#[derive(Clone, Debug)]
struct Appliance {
    listed: Listed,
    /// This agent's liking, 0 to 1, the same for as long as both live.
    taste: f64,
    /// When this agent's requests there were sent, by their numbers.
    flying: Vec<(u64, Micros)>,
    /// Others' requests there, as last told, and when.
    others: f64,
    told_at: Micros,
    /// Logarithm of its time over the service's usual.
    pace: f64,
    heard_at: Micros,
    shunned_until: Micros,
    strikes: u32,
    /// Part of its last answers that were bad.
    bad: f64,
}

/// What is known of a service.
#[derive(Clone, Debug)]
struct Service {
    members: Vec<usize>,
    /// Usual time of an answer, in microseconds.
    usual: f64,
    /// Usual number of others' requests at one appliance.
    others: f64,
}

/// What is asked for.
#[derive(Clone, Copy)]
pub struct Ask<'a> {
    pub service: &'a str,
    /// Versions that may get it.
    pub versions: &'a dyn Fn(&str) -> bool,
    /// Appliances that have had it.
    pub not: &'a [usize],
    /// Whether it may run more than once: only such try an appliance that may be dead.
    pub repeatable: bool,
    /// Its rank; 0 is highest.
    pub precedence: u32,
    /// Only so many of the appliances, the same ones at all agents; 0: all of them.
    pub focus: u32,
}

/// An appliance that was chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    pub appliance: usize,
    /// When its answer is expected, in microseconds from now.
    pub expected: f64,
}

/// Why none was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Nobody {
    /// No appliance is listed that may get it.
    Listed,
    /// All are full or out of favour.
    Full,
}

/// All appliances.
pub struct Field {
    zone: Arc<str>,
    own: u64,
    all: Slab<Appliance>,
    by_id: HashMap<Arc<str>, usize>,
    services: HashMap<Arc<str>, Service>,
    number: u64,
    chance: ChaCha8Rng,
}

impl Field {
    /// `zone` is the agent's own; `seed` differs between agents.
    pub fn new(zone: &str, seed: u64) -> Field {
        Field {
            zone: zone.into(),
            own: seed,
            all: Slab::new(),
            by_id: HashMap::new(),
            services: HashMap::new(),
            number: 0,
            chance: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Takes in an appliance, new or changed.
    pub fn list(&mut self, now: Micros, listed: Listed) {
        if let Some(at) = self.by_id.get(&listed.id) {
            self.all[*at].listed = listed;
            return;
        }
        let taste = f64::from(mix(self.own, &listed.id)) / f64::from(u32::MAX);
        let (id, service) = (listed.id.clone(), listed.service.clone());
        let at = self.all.insert(Appliance {
            listed,
            taste,
            flying: Vec::new(),
            others: 0.0,
            told_at: now,
            pace: 0.0,
            heard_at: now,
            shunned_until: 0,
            strikes: 0,
            bad: 0.0,
        });
        self.by_id.insert(id, at);
        let service = self.services.entry(service).or_insert(Service {
            members: Vec::new(),
            usual: FIRST_GUESS,
            others: 0.0,
        });
        service.members.push(at);
    }

    /// An appliance is listed no longer. Its handle is used again: nothing may come for it later.
    pub fn drop(&mut self, id: &str) -> Option<usize> {
        let at = self.by_id.remove(id)?;
        let gone = self.all.remove(at);
        if let Some(service) = self.services.get_mut(&gone.listed.service) {
            service.members.retain(|m| *m != at);
        }
        Some(at)
    }

    pub fn get(&self, appliance: usize) -> Option<&Listed> {
        self.all.get(appliance).map(|a| &a.listed)
    }

    pub fn find(&self, id: &str) -> Option<usize> {
        self.by_id.get(id).copied()
    }

    pub fn ids(&self) -> impl Iterator<Item = &Arc<str>> {
        self.by_id.keys()
    }

    /// Versions of a service that are listed and not about to end.
    pub fn versions(&self, service: &str) -> Vec<Arc<str>> {
        let mut versions: Vec<Arc<str>> = Vec::new();
        for at in self.services.get(service).map_or(&[][..], |s| &s.members) {
            let listed = &self.all[*at].listed;
            if !listed.closing && !versions.contains(&listed.version) {
                versions.push(listed.version.clone());
            }
        }
        versions
    }

    /// This agent's forwards under way to appliances of versions that `which` names.
    pub fn under_way(&self, service: &str, which: impl Fn(&str) -> bool) -> usize {
        let members = self.services.get(service).map_or(&[][..], |s| &s.members);
        let those = members
            .iter()
            .map(|m| &self.all[*m])
            .filter(|a| which(&a.listed.version));
        those.map(|a| a.flying.len()).sum()
    }

    /// The usual time of a service's answers, in microseconds.
    pub fn usual(&self, service: &str) -> f64 {
        self.services.get(service).map_or(FIRST_GUESS, |s| s.usual)
    }

    /// Others' requests at an appliance, as far as is known now.
    fn others(&self, a: &Appliance, usual: f64, now: Micros) -> f64 {
        let age = now.saturating_sub(a.told_at) as f64;
        usual + (a.others - usual) * 0.5f64.powf(age / DRIFT)
    }

    /// Whether an appliance may get a request at all.
    fn fit(&self, a: &Appliance, service: &Service, now: Micros, repeatable: bool) -> bool {
        if a.listed.closing || now < a.shunned_until {
            return false;
        }
        let patience = ((OWES * service.usual) as Micros).max(OWES_LEAST);
        let oldest = a.flying.iter().map(|(_, sent)| *sent).min();
        let owes = oldest.is_some_and(|sent| now > sent.max(a.heard_at) + patience);
        let tried = a.strikes == 0 || (repeatable && a.flying.is_empty());
        !owes && tried
    }

    /// The largest number that is in focus; none where all are. Numbers are drawn from ids: agents agree on them.
    fn focus(&self, members: &[usize], ask: &Ask) -> Option<u32> {
        if ask.focus == 0 {
            return None;
        }
        let open = members.iter().map(|at| &self.all[*at].listed);
        let mut numbers: Vec<u32> = open
            .filter(|l| !l.closing && (ask.versions)(&l.version))
            .map(|l| mix(0, &l.id))
            .collect();
        numbers.sort_unstable();
        numbers.get(ask.focus as usize - 1).copied()
    }

    /// Chooses an appliance.
    pub fn choose(&mut self, now: Micros, ask: Ask) -> Result<Choice, Nobody> {
        let Some(service) = self.services.get(ask.service) else {
            return Err(Nobody::Listed);
        };
        let (mut best, mut spare, mut listed): (Option<Choice>, Option<Choice>, bool) =
            (None, None, false);
        let mut least = f64::INFINITY;
        let jitter = self.chance.gen_range(0.0..0.02);
        let most = self.focus(&service.members, &ask);
        let waiting = WAITING[(ask.precedence as usize).min(WAITING.len() - 1)];
        for at in &service.members {
            let a = &self.all[*at];
            if ask.not.contains(at) || a.listed.closing || !(ask.versions)(&a.listed.version) {
                continue;
            }
            if most.is_some_and(|most| mix(0, &a.listed.id) > most) {
                continue;
            }
            listed = true;
            let berths = f64::from(a.listed.berths.max(1));
            let own = a.flying.len() as f64;
            let ahead = own + self.others(a, service.others, now);
            if ahead >= berths + waiting || now < a.shunned_until {
                continue;
            }
            let cold = if now < a.listed.cold_until { COLD } else { 1.0 };
            let time = service.usual * a.pace.exp() * cold;
            let expected = time * ((ahead + 1.0) / berths).max(1.0);
            if !self.fit(a, service, now, ask.repeatable) {
                if spare.is_none_or(|s| expected < s.expected) {
                    spare = Some(Choice {
                        appliance: *at,
                        expected,
                    });
                }
                continue;
            }
            let far = if a.listed.zone == self.zone { 0.0 } else { FAR };
            let taste = (TASTE + jitter) * a.taste;
            // A bad answer costs a whole further try; part of the room counts as used up before it is.
            let crowd = 0.3 * (ahead / berths).min(1.0);
            let cost = expected * (1.0 + 4.0 * a.bad) + service.usual * (far + taste + crowd);
            if cost < least {
                (least, best) = (
                    cost,
                    Some(Choice {
                        appliance: *at,
                        expected,
                    }),
                );
            }
        }
        match best.or(spare) {
            Some(choice) => Ok(choice),
            None if listed => Err(Nobody::Full),
            None => Err(Nobody::Listed),
        }
    }

    /// A request has been sent there: a number to tell its end by.
    pub fn sent(&mut self, now: Micros, appliance: usize) -> u64 {
        self.number += 1;
        if let Some(a) = self.all.get_mut(appliance) {
            a.flying.push((self.number, now));
        }
        self.number
    }

    /// A request's forward has ended. `spent`: what the appliance took for it.
    pub fn ended(
        &mut self,
        now: Micros,
        appliance: usize,
        number: u64,
        sign: Sign,
        load: Option<Load>,
    ) {
        let Some(a) = self.all.get_mut(appliance) else {
            return;
        };
        let Some(place) = a.flying.iter().position(|(n, _)| *n == number) else {
            return;
        };
        let (_, sent) = a.flying.swap_remove(place);
        let Some(service) = self.services.get_mut(&a.listed.service) else {
            return;
        };
        if let Some(load) = load {
            let all = f64::from(load.running + load.waiting);
            (a.others, a.told_at) = ((all - a.flying.len() as f64).max(0.0), now);
            service.others += 0.05 * (a.others - service.others);
        }
        let bad = match sign {
            Sign::Served => 0.0,
            Sign::Failed | Sign::Spoilt | Sign::Broken | Sign::Silent => 1.0,
            Sign::TurnedAway | Sign::NoConnection | Sign::Nothing => f64::NAN,
        };
        if !bad.is_nan() {
            a.bad += 0.1 * (bad - a.bad);
        }
        match sign {
            Sign::Served => {
                let spent = now.saturating_sub(sent) as f64;
                if now >= a.listed.cold_until {
                    // What waited there is no slowness of its own.
                    let queued = a.flying.len() as f64 >= f64::from(a.listed.berths);
                    let most = if queued { 1.5 } else { 4.0 } * service.usual;
                    let spent = spent.min(most).max(1.0);
                    let ratio = (spent / service.usual).ln().clamp(-1.5, 1.5);
                    service.usual = SERVICE_KEEP * service.usual + (1.0 - SERVICE_KEEP) * spent;
                    a.pace = (OWN_KEEP * a.pace + (1.0 - OWN_KEEP) * ratio).clamp(-0.7, 1.5);
                }
                (a.heard_at, a.strikes, a.shunned_until) = (now, a.strikes / 2, 0);
            }
            Sign::Failed | Sign::Spoilt => (a.heard_at, a.strikes) = (now, a.strikes / 2),
            Sign::TurnedAway => (a.heard_at, a.shunned_until) = (now, now + FULL),
            Sign::NoConnection => strike(a, now),
            // One break after an answer is no death; silence is told by what it owes.
            Sign::Broken if a.strikes == 0 && a.heard_at > sent => {}
            Sign::Broken => strike(a, now),
            Sign::Silent if a.heard_at <= sent => strike(a, now),
            Sign::Silent | Sign::Nothing => {}
        }
    }
}

/// Leaves an appliance alone for a while.
fn strike(a: &mut Appliance, now: Micros) {
    a.shunned_until = now + (SHUN << a.strikes.min(3)).min(SHUN_MOST);
    a.strikes = (a.strikes + 1).min(4);
}

/// A number that differs by agent and appliance (FNV-1a).
fn mix(own: u64, id: &str) -> u32 {
    let mut hash = 0xcbf2_9ce4_8422_2325u64 ^ own;
    for byte in id.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
    }
    (hash >> 32) as u32
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    const MS: Micros = 1000;

    fn listed(id: &str, zone: &str, version: &str) -> Listed {
        Listed {
            id: id.into(),
            service: "s".into(),
            address: SocketAddrV4::new([10, 0, 0, 1].into(), 80),
            zone: zone.into(),
            version: version.into(),
            berths: 2,
            closing: false,
            cold_until: 0,
        }
    }

    /// A field of appliances of one zone.
    fn field(ids: &[&str]) -> Field {
        let mut field = Field::new("a", 3);
        ids.iter()
            .for_each(|id| field.list(0, listed(id, "a", "v1")));
        field
    }

    fn ask<'a>(versions: &'a dyn Fn(&str) -> bool, not: &'a [usize], repeatable: bool) -> Ask<'a> {
        Ask {
            service: "s",
            versions,
            not,
            repeatable,
            precedence: 2,
            focus: 0,
        }
    }

    fn any(_: &str) -> bool {
        true
    }

    fn choose(field: &mut Field, now: Micros, repeatable: bool) -> Result<String, Nobody> {
        let choice = field.choose(now, ask(&any, &[], repeatable))?;
        Ok(field.get(choice.appliance).expect("listed").id.to_string())
    }

    /// Guards against requests that queue at one appliance while another is idle.
    #[test]
    fn what_is_in_hand_spreads_until_all_are_busy_and_then_nothing_is_pushed_in() {
        let mut field = field(&["x", "y", "z"]);
        let mut sent = HashMap::<String, u32>::new();
        while let Ok(id) = choose(&mut field, 0, false) {
            let at = field.find(&id).expect("listed");
            field.sent(0, at);
            *sent.entry(id).or_default() += 1;
            let (least, most) = (sent.values().min(), sent.values().max());
            assert!(
                sent.len() < 3 || most.zip(least).is_some_and(|(m, l)| m - l <= 1),
                "{sent:?}"
            );
        }
        // Two at work and a few that wait: some appliances never answer what is beyond that.
        assert_eq!(sent.values().sum::<u32>(), 3 * 5);
        assert_eq!(choose(&mut field, 0, false), Err(Nobody::Full));
    }

    /// Guards against sending to what is closing, of another version, or was tried for the same request.
    #[test]
    fn only_those_that_may_get_it_are_chosen() {
        let mut field = field(&["x"]);
        field.list(0, listed("new", "a", "v2"));
        field.list(
            0,
            Listed {
                closing: true,
                ..listed("old", "a", "v1")
            },
        );
        let x = field.find("x").expect("listed");
        let v1 = |version: &str| version == "v1";
        assert_eq!(
            field.choose(0, ask(&v1, &[], true)).map(|c| c.appliance),
            Ok(x)
        );
        assert_eq!(field.choose(0, ask(&v1, &[x], true)), Err(Nobody::Listed));
        field.drop("x");
        assert_eq!(field.choose(0, ask(&v1, &[], true)), Err(Nobody::Listed));
        assert_eq!(field.versions("s"), [Arc::<str>::from("v2")]);
    }

    /// Guards against an order lost at an appliance that has gone dark: after the first silence nothing that may run
    /// once only goes there, until a lookup was answered.
    #[test]
    fn a_silent_appliance_gets_nothing_that_may_run_once_only() {
        let mut field = field(&["x", "y"]);
        let (x, y) = (
            field.find("x").expect("listed"),
            field.find("y").expect("listed"),
        );
        let lost = field.sent(0, x);
        let busy: Vec<u64> = (0..4).map(|_| field.sent(500 * MS, y)).collect();
        // It owes an answer for long: the busier one is taken.
        assert_eq!(choose(&mut field, 800 * MS, false).as_deref(), Ok("y"));
        field.ended(800 * MS, x, lost, Sign::Silent, None);
        assert_eq!(
            choose(&mut field, 1000 * MS, true).as_deref(),
            Ok("y"),
            "left alone at first"
        );
        busy.iter()
            .for_each(|b| field.ended(1000 * MS, y, *b, Sign::Served, None));
        let later = 1400 * MS;
        assert_eq!(choose(&mut field, later, false).as_deref(), Ok("y"));
        let trial = field.sent(later, x);
        field.ended(later + 100 * MS, x, trial, Sign::Served, None);
        let all: Vec<_> = (0..3).map(|_| field.sent(later + 100 * MS, y)).collect();
        assert_eq!(
            choose(&mut field, later + 100 * MS, false).as_deref(),
            Ok("x"),
            "it serves again: {all:?}"
        );
    }

    /// Guards against crowding an appliance that others crowd already, and against old word of it.
    #[rstest]
    #[case(0, "y")]
    #[case(3000, "x")]
    fn what_it_told_of_others_counts_and_is_forgotten(#[case] later: u64, #[case] chosen: &str) {
        let mut field = Field::new("a", 3);
        // The far one is taken only while the near one is crowded.
        field.list(0, listed("x", "a", "v1"));
        field.list(0, listed("y", "b", "v1"));
        let x = field.find("x").expect("listed");
        let number = field.sent(0, x);
        let load = Load {
            running: 2,
            waiting: 2,
            berths: 2,
        };
        field.ended(100 * MS, x, number, Sign::Served, Some(load));
        assert_eq!(
            choose(&mut field, (100 + later) * MS, true).as_deref(),
            Ok(chosen)
        );
    }

    /// Guards against a trial that is meant to load a few appliances and is spread by each agent to others.
    #[test]
    fn all_agents_focus_on_the_same_appliances() {
        let ids = ["a", "b", "c", "d", "e", "f", "g", "h"];
        let mut met = std::collections::BTreeSet::new();
        for seed in 0..20 {
            let mut field = Field::new("a", seed);
            ids.iter()
                .for_each(|id| field.list(0, listed(id, "a", "v2")));
            for _ in 0..4 {
                let choice = field
                    .choose(
                        0,
                        Ask {
                            focus: 2,
                            ..ask(&any, &[], true)
                        },
                    )
                    .expect("one of two");
                met.insert(field.get(choice.appliance).expect("listed").id.clone());
                field.sent(0, choice.appliance);
            }
        }
        assert_eq!(met.len(), 2);
    }

    /// Guards against orders that are refused because lookups have filled every queue.
    #[test]
    fn what_ranks_high_finds_room_where_the_rest_is_refused() {
        let mut field = field(&["x"]);
        let x = field.find("x").expect("listed");
        let mut room = |precedence| {
            let mut sent = 0;
            while field
                .choose(
                    0,
                    Ask {
                        precedence,
                        ..ask(&any, &[], false)
                    },
                )
                .is_ok()
            {
                field.sent(0, x);
                sent += 1;
            }
            sent
        };
        assert_eq!([2, 7, 1, 0].map(&mut room), [5, 0, 1, 1]);
    }

    /// Guards against a cold appliance that gets as much as a warm one.
    #[test]
    fn a_cold_appliance_waits_until_the_warm_ones_are_busy() {
        let mut field = field(&["x"]);
        field.list(
            0,
            Listed {
                cold_until: 3000 * MS,
                ..listed("cold", "a", "v1")
            },
        );
        let x = field.find("x").expect("listed");
        assert_eq!(choose(&mut field, 0, true).as_deref(), Ok("x"));
        (0..3).for_each(|_| _ = field.sent(0, x));
        assert_eq!(choose(&mut field, 0, true).as_deref(), Ok("cold"));
    }
}
