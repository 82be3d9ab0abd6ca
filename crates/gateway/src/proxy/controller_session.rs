//! The link to the leading sorting machine.

use super::Counter;
use crate::clock::{self, now};
use crate::net::{self, Frames};
use magpieline_config::node_settings::Machine;
use magpieline_control_plane::config_receiver::{Intake, Taken};
use magpieline_control_plane::controller_client::{Action, Event, Tendril};
use magpieline_control_plane::messages::{Down, Fenced, Hello, Opening, Report, Up};
use std::net::SocketAddrV4;
use std::sync::Arc;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::task::JoinHandle;

/// A connection takes no longer than the tendril waits for it.
const UP_WITHIN: clock::Micros = 240_000;

/// While a service moves to another version, evidence is told this often.
const MOVING: clock::Micros = 100_000;

struct Link {
    read: Frames<OwnedReadHalf>,
    write: OwnedWriteHalf,
    intake: Intake,
}

pub async fn run(counter: Arc<Counter>) {
    let inner = counter.machine.inner_ports.0;
    let seeds = |machine: &Machine| {
        machine
            .seeds
            .iter()
            .map(|s| SocketAddrV4::new(*s.ip(), inner))
            .collect()
    };
    let mut settings = counter.settings.clone();
    let mut tendril = Tendril::new(
        now(),
        seeds(&settings.borrow_and_update()),
        counter.life as usize,
    );
    let mut link: Option<Link> = None;
    let mut dialled: Option<JoinHandle<std::io::Result<Link>>> = None;
    let mut actions = tendril.step(now(), Event::Tick);
    // What was heard last, until it is taken into force or refused.
    let mut word: Option<Down> = None;
    loop {
        for action in std::mem::take(&mut actions) {
            let said = match action {
                Action::Dial(to) => {
                    link = None;
                    dialled = Some(tokio::spawn(dial(to)));
                    continue;
                }
                Action::HangUp => {
                    (link, dialled) = (None, None);
                    continue;
                }
                Action::Hello => {
                    let (node, zone) = (counter.machine.node.clone(), counter.machine.zone.clone());
                    let (incarnation, edition) = (counter.life, counter.edition_number());
                    Up::Hello(Hello {
                        node,
                        zone,
                        incarnation,
                        edition,
                        term: tendril.term(),
                        at: now(),
                    })
                }
                Action::Report => {
                    let (edition, evidence) = (counter.edition_number(), counter.evidence());
                    Up::Report(Report {
                        edition,
                        evidence,
                        term: tendril.term(),
                        at: now(),
                    })
                }
                Action::Take => {
                    let (Some(open), Some(word)) = (&mut link, word.take()) else {
                        continue;
                    };
                    let answer = take(&counter, &mut open.intake, tendril.term(), &word);
                    tendril.in_force(counter.edition_number());
                    match answer {
                        Some(up) => up,
                        None => continue,
                    }
                }
            };
            let Some(open) = &mut link else { continue };
            if net::say(&mut open.write, &said).await.is_err() {
                link = None;
                actions.extend(tendril.step(now(), Event::Closed));
            }
        }
        if settings.has_changed().unwrap_or(false) {
            tendril.reseed(seeds(&settings.borrow_and_update()));
        }
        // While a service moves, a build that fails under all its load must be found out within a moment.
        if counter.moving() {
            tendril.hurry(now() + MOVING);
        }
        counter.state().held = tendril.holds(now());
        counter.heard_counters(tendril.counters());
        if !actions.is_empty() {
            continue;
        }
        actions = tokio::select! {
            up = async { dialled.as_mut().expect("guarded").await }, if dialled.is_some() => {
                dialled = None;
                match up {
                    Ok(Ok(open)) => {
                        link = Some(open);
                        tendril.step(now(), Event::Opened)
                    }
                    _ => tendril.step(now(), Event::Closed),
                }
            }
            heard = async { link.as_mut().expect("guarded").read.next::<Fenced<Down>>().await }, if link.is_some() => {
                match heard {
                    Ok(Some(told)) => {
                        let actions = tendril.step(now(), Event::Heard(&told));
                        word = Some(told.word);
                        actions
                    }
                    _ => {
                        link = None;
                        tendril.step(now(), Event::Closed)
                    }
                }
            }
            () = counter.tell.notified() => {
                tendril.hurry(now());
                tendril.step(now(), Event::Tick)
            }
            () = clock::until(tendril.next()) => tendril.step(now(), Event::Tick),
        };
    }
}

async fn dial(to: SocketAddrV4) -> std::io::Result<Link> {
    let stream = net::connect(to, UP_WITHIN).await?;
    let (read, mut write) = stream.into_split();
    net::say(&mut write, &Opening::Counter).await?;
    Ok(Link {
        read: Frames::new(read),
        write,
        intake: Intake::default(),
    })
}

/// Takes a leader's word into force. What is to be said in return.
fn take(counter: &Counter, intake: &mut Intake, term: u64, word: &Down) -> Option<Up> {
    match word {
        Down::Welcome { .. } => {
            tracing::info!(target: "session", "Held by the leader of term {term}.");
            counter.confirmed();
        }
        Down::Piece(piece) => {
            return Some(match intake.take(counter.kept().as_ref(), piece) {
                Taken::More(upto) => Up::Got {
                    number: piece.number,
                    upto,
                },
                Taken::Whole(kept) => {
                    counter.take_edition(&kept);
                    Up::Holds {
                        edition: counter.edition_number(),
                    }
                }
                Taken::Stale => Up::Holds {
                    edition: counter.edition_number(),
                },
                Taken::Unfit => {
                    tracing::warn!(target: "edition", "A change does not fit; the whole is asked for.");
                    Up::Holds { edition: 0 }
                }
            })
        }
        Down::Services(standings) => counter.take_standings(standings.clone()),
        Down::Listing(listing) => counter.take_listing(listing),
        Down::Stage(service, order, stage) => counter.take_stage(service, *order, *stage),
        Down::Beat { .. } | Down::Elsewhere { .. } => {}
    }
    None
}
