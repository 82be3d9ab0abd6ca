//! Links from other agents: counters that hold on to the leader, and other sorting machines.

use super::leader_redirect::{way, Way};
use super::proxy_outbox::Queue;
use super::Sorting;
use crate::clock::{now, span, Micros};
use crate::net::{self, Frames};
use crate::view;
use magpieline_control_plane::config_sender::Event;
use magpieline_control_plane::messages::{Down, Fenced, Hello, Opening, Up};
use magpieline_raft::Envelope;
use socket2::SockRef;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Who opens a link says at once what it is for.
const SAID_WITHIN: Micros = 1_000_000;
/// Counters let go of a leader after a second without a word.
const BEAT: Micros = 300_000;
/// A counter that asks while nobody leads is answered when somebody does, or after this; it waits a second itself.
const HELD_BACK: Micros = 300_000;

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

/// Tells each counter that this machine leads, only while nobody else can.
async fn beat(sorting: Arc<Sorting>) {
    loop {
        tokio::time::sleep(span(BEAT)).await;
        if sorting.council.leads() {
            let mut state = sorting.state();
            state.beat();
            state.feed(Event::Tick);
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

/// The term in which a majority has confirmed, after this was asked, that this machine leads. While nobody is known to
/// lead, and lately somebody was, it waits a moment for who will.
async fn confirmed(sorting: &Sorting) -> Option<u64> {
    let until = now() + HELD_BACK;
    while let Way::Wait(_) = way(&sorting.council.sight(), now(), until) {
        if sorting.council.leading().is_some() {
            break; // the read waits for a majority by itself
        }
        sorting.council.changed(until).await;
    }
    let term = sorting.council.leading()?;
    sorting.council.barrier().await.ok()?;
    // Leadership of a term is never had again once it is lost.
    sorting.council.leading().filter(|still| *still == term)
}

/// Takes up a counter and what it is to be told first; none if this machine can't show that it leads.
fn take_up(sorting: &Sorting, term: u64, hello: &Hello) -> Option<(u64, Queue)> {
    let mut state = sorting.state();
    let (link, queue) = state.open();
    if !state.roster.hello(now(), link, term, hello) {
        state.let_go(link);
        return None;
    }
    let counters = state.roster.count(now());
    for word in &state.all() {
        state.tell(link, word);
    }
    let welcome = Down::Welcome {
        core: sorting.council.members(),
        counters,
        asked: hello.at,
    };
    state.begin(link, hello.edition, &welcome);
    Some((link, queue))
}

async fn counter(
    sorting: Arc<Sorting>,
    mut read: Frames<OwnedReadHalf>,
    mut write: OwnedWriteHalf,
) {
    let said = timeout(span(SAID_WITHIN), read.next::<Up>()).await;
    let Ok(Ok(Some(Up::Hello(hello)))) = said else {
        return;
    };
    // What a counter is told must not be older than what any other has been told.
    let held = confirmed(&sorting)
        .await
        .and_then(|term| take_up(&sorting, term, &hello));
    let Some((link, mut queue)) = held else {
        let leader = sorting.council.leader().filter(|l| *l != sorting.inner());
        let word = Down::Elsewhere {
            leader,
            core: sorting.council.members(),
        };
        let _ = net::say(
            &mut write,
            &Fenced {
                term: sorting.council.term(),
                word,
            },
        )
        .await;
        return;
    };
    let node = hello.node;
    tracing::debug!(target: "session", "Counter {node} is held.");
    let writing = async {
        while let Some(frame) = queue.waiting.recv().await {
            if write.write_all(&frame).await.is_err() {
                break;
            }
        }
    };
    let reading = async {
        while let Ok(Some(up)) = read.next::<Up>().await {
            let mut state = sorting.state();
            match up {
                Up::Report(report) => {
                    if !state.roster.report(now(), link, report) {
                        tracing::info!(target: "session", "Counter {node} has heard a newer leader.");
                        break;
                    }
                }
                Up::Got { number, upto } => state.feed(Event::Got { link, number, upto }),
                Up::Holds { edition } => state.feed(Event::Holds { link, edition }),
                Up::Hello(_) => {}
            }
        }
    };
    tokio::select! {
        biased;
        _ = queue.ended => {}
        () = writing => {}
        () = reading => {}
    }
    // What the system still holds of it is not to arrive either.
    let _ = SockRef::from(read.source().as_ref()).set_linger(Some(Duration::ZERO));
    sorting.state().let_go(link);
}
