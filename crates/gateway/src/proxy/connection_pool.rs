//! Connections to appliances that wait for their next request.

use super::upstream_connection::Line;
use crate::clock::{now, Micros};
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

/// Of the time after which an appliance closes idle connections so much is used: what is sent while it closes may
/// have run, and an order can't be sent again.
const OF_KEPT: f64 = 0.6;
/// Where an appliance does not say, a connection is used again for so long.
const UNSAID: Micros = 4_000_000;

struct Idle {
    line: Line,
    until: Micros,
}

/// Idle connections by their appliances' ids: a handle passes to another appliance, an id never does.
#[derive(Default)]
pub struct Pool {
    idle: HashMap<Arc<str>, VecDeque<Idle>>,
}

impl Pool {
    /// The one that has been idle longest: what an appliance sent too much or too late has come by then, and has
    /// ended the connection.
    pub fn take(&mut self, appliance: &str) -> Option<Line> {
        let (lines, now) = (self.idle.get_mut(appliance)?, now());
        while let Some(idle) = lines.pop_front() {
            if now < idle.until && idle.line.is_ready() {
                return Some(idle.line);
            }
        }
        None
    }

    /// Keeps a connection; `kept` is the time after which its appliance says that it closes it.
    pub fn put(&mut self, appliance: Arc<str>, line: Line, kept: Option<Micros>) {
        let span = kept.map_or(UNSAID, |k| (k as f64 * OF_KEPT) as Micros);
        self.idle.entry(appliance).or_default().push_back(Idle {
            line,
            until: now() + span,
        });
    }

    /// Ends all idle connections of an appliance.
    pub fn drop_all(&mut self, appliance: &str) {
        self.idle.remove(appliance);
    }

    /// Ends what has been idle for too long.
    pub fn sweep(&mut self) {
        let now = now();
        self.idle.retain(|_, lines| {
            lines.retain(|idle| now < idle.until && !idle.line.is_closed());
            !lines.is_empty()
        });
    }
}
