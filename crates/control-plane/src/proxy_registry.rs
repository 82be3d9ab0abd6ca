//! The leader's view of the proxies: who is there, what is in force at each, what each has seen of a trial.
//!
//! Proxies report totals, not steps: a report replaces the one before, so losses and duplicates do no harm. A proxy that
//! restarts begins new totals; what its earlier incarnation reported is kept, as it was seen.
//!
//! Sessions belong to one leadership. A proxy is registered only in the term in which a majority has confirmed this controller
//! after the proxy asked; when the term ends, all its sessions end, and so does the session of a proxy that has heard a leader
//! of a newer term.

use crate::messages::{
    ArmTotals, EndpointTotals, Hello, Report, SpeedTotals, TrialEvidence, TrialSpeed, Vote,
};
use crate::state_machine::Phase;
use crate::Micros;
use std::collections::BTreeMap;

/// A proxy that has not been heard for so long is away: three of its reports.
const AWAY_AFTER: Micros = 1_500_000;
/// A proxy that has been away for so long no longer counts as one that may come back with its part of a sum.
const FORGOTTEN_AFTER: Micros = 120_000_000;

/// One proxy.
#[derive(Clone, Debug, Default)]
pub struct ProxyEntry {
    /// Its zone.
    pub zone: String,
    /// Different at each start of its process.
    pub incarnation: u64,
    /// The version of the configuration in force there.
    pub config_version: Option<u64>,
    /// When it was last heard.
    pub heard_at: Micros,
    /// Its session, if it has one.
    pub session: Option<u64>,
    /// When it sent what was last heard, on its own clock.
    pub reported_at: Micros,
    /// The newest evidence of this incarnation, by service.
    pub evidence: BTreeMap<String, TrialEvidence>,
    /// The newest speeds that this incarnation has seen, by service.
    pub speeds: BTreeMap<String, TrialSpeed>,
}

impl ProxyEntry {
    /// Whether it has no session, or has not been heard for a while.
    pub fn is_away(&self, now: Micros) -> bool {
        self.session.is_none() || now >= self.heard_at + AWAY_AFTER
    }
}

/// All proxies, by name.
#[derive(Clone, Debug, Default)]
pub struct ProxyRegistry {
    /// The term in which this controller leads; none: it doesn't.
    term: Option<u64>,
    proxies: BTreeMap<String, ProxyEntry>,
    /// Evidence of incarnations that have ended.
    past_evidence: Vec<TrialEvidence>,
    past_speeds: Vec<TrialSpeed>,
}

/// What all proxies together have seen of a rollout.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PooledEvidence {
    /// By route: the totals of the earlier version, then of the one on trial.
    pub routes: BTreeMap<u64, [ArmTotals; 2]>,
    /// What was seen of the endpoints of the version on trial.
    pub endpoints: BTreeMap<u32, EndpointTotals>,
    /// The speed of the earlier version.
    pub earlier_speed: SpeedTotals,
    /// The speeds of the endpoints of the version on trial.
    pub endpoint_speeds: BTreeMap<u32, SpeedTotals>,
    /// Requests for the service that were accepted since the order.
    pub requests: u64,
    /// The longest time that a proxy has known of the order, in microseconds.
    pub age: u64,
    /// Proxies that vote for taking the version back.
    pub rollback_votes: u32,
    /// Proxies that vote for going on with it.
    pub promote_votes: u32,
    /// Proxies that have reported anything of it.
    pub reporters: u32,
}

impl PooledEvidence {
    fn add_speed(&mut self, speed: &TrialSpeed) {
        self.earlier_speed.add(speed.earlier);
        for (endpoint, totals) in &speed.endpoints {
            let sum = self.endpoint_speeds.entry(*endpoint).or_default();
            sum.add(*totals);
        }
    }

    fn add(&mut self, evidence: &TrialEvidence) {
        self.reporters += 1;
        self.requests += evidence.requests;
        self.age = self.age.max(evidence.age);
        for endpoint in &evidence.endpoints {
            let sum = self.endpoints.entry(endpoint.endpoint).or_default();
            sum.endpoint = endpoint.endpoint;
            sum.outcomes += endpoint.outcomes;
            sum.bad += endpoint.bad;
            sum.late += endpoint.late;
        }
        self.rollback_votes += u32::from(evidence.vote == Vote::RollBack);
        self.promote_votes += u32::from(evidence.vote == Vote::Promote);
        for (route, arms) in &evidence.totals {
            let sums = self.routes.entry(*route).or_default();
            for (sum, arm) in sums.iter_mut().zip(arms) {
                sum.add(arm);
            }
        }
    }
}

/// How far proxies have drained the old version of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DrainProgress {
    /// Attempts in flight to the old version, at proxies that know of the promotion.
    pub in_flight: u32,
    /// Proxies that are there and have not reported that they know of it.
    pub unaware: u32,
}

impl ProxyRegistry {
    /// Takes note that this controller leads in this term from now on, or no longer. Returns whether that is a change: then all
    /// sessions before are to end, and what was heard in them means nothing.
    pub fn set_leadership(&mut self, term: Option<u64>) -> bool {
        let has_changed = self.term != term;
        if has_changed {
            *self = ProxyRegistry {
                term,
                ..ProxyRegistry::default()
            };
        }
        has_changed
    }

    /// Returns the term in which this controller leads.
    pub fn term(&self) -> Option<u64> {
        self.term
    }

    /// Registers a proxy that has sent a hello in this session, after which a majority has confirmed that this controller leads
    /// in the term `confirmed`. Returns false if that term is over, here or as the proxy knows.
    pub fn register(&mut self, now: Micros, session: u64, confirmed: u64, hello: &Hello) -> bool {
        if self.term != Some(confirmed) || hello.term > confirmed {
            return false;
        }
        let proxy = self.proxies.entry(hello.node.clone()).or_default();
        if proxy.incarnation != hello.incarnation {
            let evidence = std::mem::take(&mut proxy.evidence);
            self.past_evidence.extend(evidence.into_values());
            let says_something =
                |evidence: &TrialEvidence| evidence.phase.is_some() || !evidence.totals.is_empty();
            self.past_evidence.retain(says_something);
            let speeds = std::mem::take(&mut proxy.speeds);
            self.past_speeds.extend(speeds.into_values());
        }
        *proxy = ProxyEntry {
            zone: hello.zone.clone(),
            incarnation: hello.incarnation,
            config_version: hello.config_version,
            heard_at: now,
            session: Some(session),
            reported_at: hello.sent_at,
            evidence: std::mem::take(&mut proxy.evidence),
            speeds: std::mem::take(&mut proxy.speeds),
        };
        true
    }

    /// Takes in the speeds that a proxy reports.
    pub fn on_speeds(&mut self, session: u64, speeds: Vec<TrialSpeed>) {
        let mut proxies = self.proxies.values_mut();
        if let Some(proxy) = proxies.find(|proxy| proxy.session == Some(session)) {
            let by_service = speeds.into_iter();
            proxy
                .speeds
                .extend(by_service.map(|speed| (speed.service.to_string(), speed)));
        }
    }

    /// Takes in a proxy's report. Returns false if it has heard a leader of a newer term: its session is to end.
    pub fn on_report(&mut self, now: Micros, session: u64, report: Report) -> bool {
        if self.term.is_none_or(|term| report.term > term) {
            self.on_closed(session);
            return false;
        }
        let Some(proxy) = self
            .proxies
            .values_mut()
            .find(|proxy| proxy.session == Some(session))
        else {
            return true;
        };
        proxy.heard_at = now;
        proxy.config_version = report.config_version;
        proxy.reported_at = report.sent_at;
        for evidence in report.evidence {
            proxy
                .evidence
                .insert(evidence.service.to_string(), evidence);
        }
        true
    }

    /// Returns all sessions and, on each proxy's own clock, when it sent what was last heard.
    pub fn report_times(&self) -> impl Iterator<Item = (u64, Micros)> + '_ {
        self.proxies
            .values()
            .filter_map(|proxy| Some((proxy.session?, proxy.reported_at)))
    }

    /// Takes note that a session has ended.
    pub fn on_closed(&mut self, session: u64) {
        for proxy in self
            .proxies
            .values_mut()
            .filter(|proxy| proxy.session == Some(session))
        {
            proxy.session = None;
        }
    }

    /// Returns how many proxies there are, for sums that each holds a part of: those that may come back count too.
    pub fn count(&mut self, now: Micros) -> u32 {
        let may_come_back = |proxy: &ProxyEntry| now < proxy.heard_at + FORGOTTEN_AFTER;
        self.proxies
            .retain(|_, proxy| !proxy.is_away(now) || may_come_back(proxy));
        self.proxies.len() as u32
    }

    /// Returns all proxies, by name.
    pub fn iter(&self) -> impl Iterator<Item = (&String, &ProxyEntry)> {
        self.proxies.iter()
    }

    /// Returns what all proxies have seen of one rollout.
    pub fn pooled_evidence(&self, service: &str, rollout_id: u64) -> PooledEvidence {
        let mut pooled = PooledEvidence::default();
        let present = self
            .proxies
            .values()
            .filter_map(|proxy| proxy.evidence.get(service));
        let past = self
            .past_evidence
            .iter()
            .filter(|evidence| &*evidence.service == service);
        for evidence in present
            .chain(past)
            .filter(|evidence| evidence.rollout_id == rollout_id)
        {
            pooled.add(evidence);
        }
        let present = self
            .proxies
            .values()
            .filter_map(|proxy| proxy.speeds.get(service));
        let speeds = present.chain(&self.past_speeds);
        for speed in
            speeds.filter(|speed| &*speed.service == service && speed.rollout_id == rollout_id)
        {
            pooled.add_speed(speed);
        }
        pooled
    }

    /// Returns how far proxies have drained the old version of a service that is being promoted.
    pub fn drain_progress(&self, now: Micros, service: &str, rollout_id: u64) -> DrainProgress {
        let mut progress = DrainProgress::default();
        for proxy in self.proxies.values().filter(|proxy| !proxy.is_away(now)) {
            let evidence = proxy.evidence.get(service);
            match evidence.filter(|evidence| evidence.rollout_id == rollout_id) {
                Some(evidence) if evidence.phase == Some(Phase::Promoting) => {
                    progress.in_flight += evidence.draining;
                }
                _ => progress.unaware += 1,
            }
        }
        progress
    }
}
