//! The log of one process: which requests are in progress, and which may have run.

use crate::record::Record;
use crate::request::{AttemptRequest, FirstAttempt, Idempotency, Outcome, Rejection};
use std::collections::{HashMap, VecDeque};

/// The order of touches is cleaned up once it is so many times as long as there are entries,
const MAX_TOUCHES_PER_ENTRY: usize = 4;
/// and so much longer.
const MIN_TOUCHES: usize = 64;

/// How much is remembered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// How many requests at most.
    pub max_entries: usize,
    /// For how long after the last word on one, in seconds: longer than any caller goes on retrying.
    pub retention: f64,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    idempotency: Idempotency,
    in_progress: u32,
    /// Those of them that were sent.
    sent: u32,
    /// When and where it was first sent, unless all that were sent provably never ran.
    first_attempt: Option<FirstAttempt>,
    /// Whether an attempt that is over may have run.
    may_have_run: bool,
    touched_at: f64,
}

impl Entry {
    fn new(now: f64, idempotency: Idempotency) -> Entry {
        Entry {
            idempotency,
            in_progress: 0,
            sent: 0,
            first_attempt: None,
            may_have_run: false,
            touched_at: now,
        }
    }

    /// Decides whether one more attempt may be made. Returns where it may go only, if that matters.
    fn admit(&self, now: f64) -> Result<Option<FirstAttempt>, Rejection> {
        let is_in_progress = self.in_progress > 0;
        let Some(first) = self.first_attempt else {
            // One that is deduplicated and not sent yet: two could go different ways.
            return match is_in_progress {
                true => Err(Rejection::InProgress),
                false => Ok(None),
            };
        };
        if self.idempotency.is_recognized(now, first) {
            return Ok(Some(first));
        }
        let is_non_idempotent = self.idempotency == Idempotency::NonIdempotent;
        match !self.may_have_run && is_in_progress && is_non_idempotent {
            true => Err(Rejection::InProgress),
            false => Err(Rejection::MayHaveRun),
        }
    }

    /// Whether it provably never ran, and nothing of it is in progress.
    fn is_removable(&self) -> bool {
        self.in_progress == 0 && !self.may_have_run
    }
}

/// The attempts of one process.
pub struct AttemptLog {
    limits: Limits,
    entries: HashMap<u64, Entry>,
    /// Ids by when they were last touched; an older touch of an id is passed over.
    touches: VecDeque<(f64, u64)>,
    /// From when on all is known: what came before is rejected.
    known_from: f64,
    /// Ids that provably never ran, oldest first: they give way when there is no capacity left.
    never_ran: VecDeque<u64>,
}

impl AttemptLog {
    /// Starts an empty log.
    pub fn new(now: f64, limits: Limits) -> AttemptLog {
        AttemptLog {
            limits,
            entries: HashMap::new(),
            touches: VecDeque::new(),
            known_from: now,
            never_ran: VecDeque::new(),
        }
    }

    /// Goes on from the records of its predecessors, all of them since `known_from`.
    pub fn recover(now: f64, limits: Limits, records: &[Record], known_from: f64) -> AttemptLog {
        let mut log = AttemptLog::new(now, limits);
        log.known_from = known_from;
        for record in records {
            log.replay(now, record);
        }
        for (id, entry) in &mut log.entries {
            entry.may_have_run = entry.sent > 0;
            entry.sent = 0;
            if !entry.may_have_run {
                entry.first_attempt = None;
                log.never_ran.push_back(*id);
            }
            log.touches.push_back((now, *id));
        }
        log
    }

    /// Takes over a record. An attempt counts until its end is read; one that has none may have run.
    fn replay(&mut self, now: f64, record: &Record) {
        match *record {
            Record::Sent {
                id,
                idempotency,
                attempt,
            } => {
                let entry = self
                    .entries
                    .entry(id)
                    .or_insert(Entry::new(now, idempotency));
                entry.sent += 1;
                entry.first_attempt.get_or_insert(attempt);
            }
            Record::NeverRan { id } => {
                if let Some(entry) = self.entries.get_mut(&id) {
                    entry.sent = entry.sent.saturating_sub(1);
                }
            }
        }
    }

    /// Forgets what nobody asks for any more.
    fn expire(&mut self, now: f64) {
        while let Some((at, id)) = self.touches.front().copied() {
            if now - at < self.limits.retention {
                return;
            }
            self.touches.pop_front();
            // One that was touched since has a later place.
            let Some(entry) = self
                .entries
                .get_mut(&id)
                .filter(|entry| entry.touched_at <= at)
            else {
                continue;
            };
            if entry.in_progress == 0 {
                self.entries.remove(&id);
            } else {
                entry.touched_at = now;
                self.touches.push_back((now, id));
            }
        }
    }

    /// Forgets one that provably never ran. Returns whether there was one. A caller that retries it will be rejected.
    fn make_room(&mut self) -> bool {
        while let Some(id) = self.never_ran.pop_front() {
            if self.entries.get(&id).is_some_and(Entry::is_removable) {
                self.entries.remove(&id);
                return true;
            }
        }
        false
    }

    pub(crate) fn touch(&mut self, now: f64, id: u64) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.touched_at = now;
            self.touches.push_back((now, id));
        }
        if self.touches.len() > MAX_TOUCHES_PER_ENTRY * self.entries.len() + MIN_TOUCHES {
            self.compact();
        }
    }

    /// Each beginning and each end leaves a touch: of one id only the last counts.
    fn compact(&mut self) {
        let entries = &self.entries;
        self.touches
            .retain(|(at, id)| entries.get(id).is_some_and(|entry| entry.touched_at == *at));
        self.never_ran
            .retain(|id| entries.get(id).is_some_and(Entry::is_removable));
        self.never_ran.truncate(2 * self.entries.len());
    }

    #[cfg(test)]
    pub(crate) fn touches(&self) -> usize {
        self.touches.len()
    }

    /// Begins an attempt if it may be made. Returns where it may go only: a deduplicated request that may have run goes only
    /// where its repeats are recognized. It is in progress until [`AttemptLog::on_end`].
    ///
    /// # Errors
    ///
    /// If it may not be made.
    pub fn begin(
        &mut self,
        now: f64,
        request: &AttemptRequest,
    ) -> Result<Option<FirstAttempt>, Rejection> {
        self.expire(now);
        if request.idempotency == Idempotency::Idempotent {
            return Ok(None); // nothing of it has to be known
        }
        let Some(entry) = self.entries.get_mut(&request.id) else {
            self.begin_new(now, request)?;
            return Ok(None);
        };
        let first_attempt = entry.admit(now)?;
        entry.in_progress += 1;
        self.touch(now, request.id);
        Ok(first_attempt)
    }

    /// Begins the first attempt that this log knows of.
    fn begin_new(&mut self, now: f64, request: &AttemptRequest) -> Result<(), Rejection> {
        // Another log may know of it, or this one has forgotten.
        let known_from = self.known_from.max(now - self.limits.retention);
        if request.is_retry || request.received_at.is_some_and(|at| at < known_from) {
            return Err(Rejection::Unknown);
        }
        if self.entries.len() >= self.limits.max_entries && !self.make_room() {
            return Err(Rejection::Full);
        }
        let mut entry = Entry::new(now, request.idempotency);
        entry.in_progress = 1;
        self.entries.insert(request.id, entry);
        self.touch(now, request.id);
        Ok(())
    }

    /// Takes note that an attempt is about to be sent to a node there. Returns what has to be written first, where there is a
    /// disk.
    pub fn on_sent(&mut self, now: f64, id: u64, zone: usize, cell: i64) -> Option<Record> {
        let entry = self.entries.get_mut(&id)?;
        entry.sent += 1;
        let attempt = FirstAttempt {
            at: now,
            zone,
            cell,
        };
        entry.first_attempt.get_or_insert(attempt);
        let idempotency = entry.idempotency;
        self.touch(now, id);
        Some(Record::Sent {
            id,
            idempotency,
            attempt,
        })
    }

    /// Takes note that an attempt is over; `was_sent`: whether it had been sent. Returns what may be written, so that a restart
    /// knows it too.
    pub fn on_end(
        &mut self,
        now: f64,
        id: u64,
        was_sent: bool,
        outcome: Outcome,
    ) -> Option<Record> {
        let entry = self.entries.get_mut(&id)?;
        entry.in_progress = entry.in_progress.saturating_sub(1);
        if was_sent {
            entry.sent = entry.sent.saturating_sub(1);
            entry.may_have_run |= outcome == Outcome::MayHaveRun;
        }
        if entry.sent == 0 && !entry.may_have_run {
            entry.first_attempt = None;
        }
        // Remembered all the same: a retry of it is known to do no harm.
        if entry.is_removable() {
            self.never_ran.push_back(id);
        }
        self.touch(now, id);
        let never_ran = was_sent && outcome == Outcome::NeverRan;
        never_ran.then_some(Record::NeverRan { id })
    }

    /// Returns how many requests are remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether none is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns all that a new journal has to begin with.
    pub fn snapshot(&self) -> Vec<Record> {
        let record = |(id, entry): (&u64, &Entry)| {
            Some(Record::Sent {
                id: *id,
                idempotency: entry.idempotency,
                attempt: entry.first_attempt?,
            })
        };
        self.entries.iter().filter_map(record).collect()
    }
}
