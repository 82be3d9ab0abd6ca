//! Links from other agents: counters that hold on to the leader, and other sorting machines.

use super::Sorting;
use crate::clock::{now, span, Micros};
use crate::net::{self, Frames};
use crate::view;
use magpieline_rootstock::Envelope;
use magpieline_trellis::feed::Event;
use magpieline_trellis::words::{Down, Opening, Up};
use std::sync::Arc;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Who opens a link says at once what it is for.
const SAID_WITHIN: Micros = 1_000_000;
/// Counters let go of a leader after a second without a word.
const BEAT: Micros = 300_000;

pub async fn run(sorting: Arc<Sorting>, inner: TcpListener) {
    tokio::spawn(beat(sorting.clone()));
    loop {
        let Ok((stream, _)) = inner.accept().await else {
            tokio::time::sleep(span(20_000)).await;
            continue;
        };
        if net::prepare(&stream).is_ok() {
            tokio::spawn(link(sorting.clone(), stream));
        }
    }
}

async fn beat(sorting: Arc<Sorting>) {
    loop {
        tokio::time::sleep(span(BEAT)).await;
        let leads = sorting.council.leads();
        let mut state = sorting.state();
        if leads {
            let counters = state.roster.count(now());
            state.tell_all(&Down::Beat { counters });
            state.feed(Event::Tick);
        } else {
            // Links end; whoever leads now hears from the counters anew.
            state.hang_up();
        }
    }
}

async fn link(sorting: Arc<Sorting>, stream: TcpStream) {
    let (read, mut write) = stream.into_split();
    let mut read = Frames::new(read);
    match timeout(span(SAID_WITHIN), read.next::<Opening>()).await {
        Ok(Ok(Some(Opening::Counter))) => counter(sorting, read, write).await,
        Ok(Ok(Some(Opening::Sorting(_)))) => {
            while let Ok(Some(envelope)) = read.next::<Envelope>().await {
                sorting.council.receive(envelope);
            }
        }
        Ok(Ok(Some(Opening::View))) => view::answer(&mut write, &sorting.shown()).await,
        Ok(Ok(None) | Err(_)) | Err(_) => {}
    }
}

async fn counter(sorting: Arc<Sorting>, mut read: Frames<OwnedReadHalf>, mut write: OwnedWriteHalf) {
    let hello = timeout(span(SAID_WITHIN), read.next::<Up>()).await;
    let Ok(Ok(Some(Up::Hello { node, zone, life, edition }))) = hello else { return };
    // What a counter is told must not be older than what any other has been told.
    if sorting.council.barrier().await.is_err() {
        let elsewhere = {
            let state = sorting.state();
            Down::Elsewhere {
                leader: sorting.council.leader().filter(|l| *l != sorting.inner()),
                core: sorting.council.members(),
                // Who holds one is told of a newer one by who leads: a whole one takes seconds on a narrow link.
                edition: state.records.edition.clone().filter(|_| edition == 0),
                services: state.records.services.clone().into_iter().collect(),
                listing: state.listing(),
            }
        };
        let _ = net::say(&mut write, &elsewhere).await;
        return;
    }
    let (link, mut waiting) = {
        let mut state = sorting.state();
        let all = state.all();
        let (link, waiting) = state.open();
        state.roster.hello(now(), link, &node, &zone, life, edition);
        let counters = state.roster.count(now());
        for down in &all {
            state.tell(link, down);
        }
        let welcome =
            Down::Welcome { term: sorting.council.term(), core: sorting.council.members(), counters };
        state.begin(link, edition, &welcome);
        (link, waiting)
    };
    tracing::debug!(target: "session", "Counter {node} is held.");
    let writing = async {
        while let Some(frame) = waiting.recv().await {
            if write.write_all(&frame).await.is_err() {
                break;
            }
        }
    };
    let reading = async {
        while let Ok(Some(up)) = read.next::<Up>().await {
            let mut state = sorting.state();
            match up {
                Up::Report { edition, evidence } => state.roster.report(now(), link, edition, evidence),
                Up::Got { number, upto } => state.feed(Event::Got { link, number, upto }),
                Up::Holds { edition } => state.feed(Event::Holds { link, edition }),
                Up::Hello { .. } => {}
            }
        }
    };
    tokio::select! {
        () = writing => {}
        () = reading => {}
    }
    sorting.state().let_go(link);
}
