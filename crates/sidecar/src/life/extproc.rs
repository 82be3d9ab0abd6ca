//! What the operators' file says of callers by gRPC: where they are listened for, which paths are hits, and where what they
//! were told is kept.

use crate::life::durable_journal::DurableJournal;
use crate::life::start::listens;
use crate::wire::headers;
use futures_util::future::LocalBoxFuture;
use futures_util::FutureExt;
use magpieline_attempt_log::record::Record;
use magpieline_dispatch::{unix, Exchange};
use magpieline_ext_proc::{Front, Shelf, Table};
use magpieline_operator_config::{text, Values};
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::{Rc, Weak};

/// A record of the journal.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Kept {
    /// All that came from here on (Unix time) is known; a new journal begins so.
    From(f64),
    One(Record),
}

/// All records, and from when on all is known; nothing of a journal that does not begin as one.
fn known(records: Vec<Kept>, now: f64) -> (Vec<Record>, f64) {
    let (mut all, mut from) = (Vec::new(), None);
    for record in records {
        match record {
            Kept::From(at) => from = from.or(Some(at)),
            Kept::One(record) => all.push(record),
        }
    }
    (all, from.unwrap_or(now))
}

/// So many records are written before it is looked whether the journal has grown too long.
const LOOK: u32 = 4096;

/// The journal as a shelf.
struct Journal {
    journal: Rc<DurableJournal<Kept>>,
    from: f64,
    written: Cell<u32>,
    /// What it begins anew with, once it is long.
    front: RefCell<Weak<Front>>,
}

impl Journal {
    /// All that is remembered, as a journal begins with it.
    fn snapshot(&self) -> Option<Vec<Kept>> {
        let records = self.front.borrow().upgrade()?.snapshot();
        Some(
            [Kept::From(self.from)]
                .into_iter()
                .chain(records.into_iter().map(Kept::One))
                .collect(),
        )
    }
}

/// The journal as the front has it.
struct OnDisk(Rc<Journal>);

impl Shelf for OnDisk {
    fn write(&self, record: Record) -> LocalBoxFuture<'static, Result<(), String>> {
        let own = self.0.clone();
        Box::pin(async move {
            own.journal.append(&Kept::One(record)).await?;
            own.written.set(own.written.get().wrapping_add(1));
            if own.written.get().is_multiple_of(LOOK) {
                // It is asked for in this same moment: whatever is written later comes after it.
                if let Some(snapshot) = own.snapshot() {
                    if let Err(e) = own.journal.compact(snapshot).await {
                        log::warn!("{e}"); // what was written stands; it is only long
                    }
                }
            }
            Ok(())
        })
    }
}

/// A journal just opened.
type Opened = (Rc<DurableJournal<Kept>>, Vec<Record>, f64);

/// Opens the journal: what it holds, and from when on all is known. Damage in it means that nothing older is.
fn journal(path: &Path) -> Result<Opened, String> {
    let (journal, records, damage) = DurableJournal::<Kept>::open(path)?;
    let now = unix();
    let (records, mut from) = known(records, now);
    if let Some(d) = damage {
        log::warn!("extproc: {d}");
        // A torn record was never told to anybody: a caller hears only after it was synced.
        if !d.is_torn() {
            from = now;
        }
    }
    Ok((Rc::new(journal), records, from))
}

/// Where callers are listened for, and their front; nothing without the element.
pub fn front(
    values: &Values,
    exchange: &Rc<Exchange>,
) -> Result<Option<(SocketAddr, Rc<Front>)>, String> {
    let Some(at) = listens(values, "extproc")? else {
        return Ok(None);
    };
    let table = Table::read(values, exchange)?;
    let (mut kept, mut records, mut from) = (None, Vec::new(), unix());
    if let Some(path) = text(values, "extproc.journal") {
        // Without it payments would be taken that nobody remembers: that is refused, not gone on without.
        let (journal, found, since) =
            journal(path.as_ref()).map_err(|e| format!("extproc/@journal: {e}"))?;
        (records, from) = (found, since);
        kept = Some(Rc::new(Journal {
            journal,
            from,
            written: Cell::default(),
            front: RefCell::default(),
        }));
    }
    let own = exchange.clone();
    let shelf = kept
        .clone()
        .map(|journal| Rc::new(OnDisk(journal)) as Rc<dyn Shelf>);
    let front = Rc::new(Front::new(
        own,
        table,
        headers::TURNED_AWAY,
        shelf,
        &records,
        from,
    ));
    if let Some(journal) = kept {
        *journal.front.borrow_mut() = Rc::downgrade(&front);
        // Begun anew with what is still remembered, so that it does not grow with each restart; asked for before
        // anything else is written, or that would be lost with what was there.
        let (snapshot, exchange) = (journal.snapshot().unwrap_or_default(), exchange.clone());
        let mut anew = Box::pin(async move { journal.journal.replace(snapshot).await });
        let told = move |done: Result<(), String>| {
            if let Err(e) = done {
                exchange.complain("ledger", &e);
            }
        };
        match (&mut anew).now_or_never() {
            Some(done) => told(done),
            None => drop(actix_rt::spawn(async move { told(anew.await) })),
        }
    }
    Ok(Some((at, front)))
}

#[cfg(test)]
mod tests;
