//! What is sent to a proxy of configurations, step by step.

use magpieline_control_plane::config_receiver::{ConfigReceiver, Received};
use magpieline_control_plane::config_sender::{Action, ConfigSender, Event};
use magpieline_control_plane::messages::{decode_frame, ConfigChunk, ControllerMessage, Fenced};
use magpieline_control_plane::state_machine::StoredConfig;

/// A configuration of some 30 KB compressed, so that it takes more than a window; each differs a little from the one before.
fn config(version: u64) -> StoredConfig {
    let mut random = 1u64;
    let line = |_| {
        random = random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        format!("{random:x}\n")
    };
    let text: String = (0..4000).map(line).collect();
    StoredConfig {
        version,
        text: format!("{version}\n{text}").into(),
    }
}

/// The chunks that are sent by a step, and whether the proxy counts as up to date.
fn chunks(sender: &mut ConfigSender, event: Event) -> (Vec<ConfigChunk>, bool) {
    let (mut chunks, mut current) = (Vec::new(), false);
    for action in sender.step(0, event) {
        match action {
            Action::Send { frame, .. } => {
                match decode_frame::<Fenced<ControllerMessage>>(&mut frame.to_vec()) {
                    Ok(Some(Fenced {
                        message: ControllerMessage::ConfigChunk(chunk),
                        ..
                    })) => chunks.push(chunk),
                    other => panic!("{other:?}"),
                }
            }
            Action::UpToDate { .. } => current = true,
            Action::Applied { .. } => {}
        }
    }
    (chunks, current)
}

/// Receives all chunks in flight, acknowledging each.
fn receive_all(sender: &mut ConfigSender, mut sent: Vec<ConfigChunk>) -> Vec<ConfigChunk> {
    let mut got = Vec::new();
    while !sent.is_empty() {
        let chunk = sent.remove(0);
        let (number, upto) = (chunk.version, chunk.offset + chunk.bytes.len() as u32);
        got.push(chunk);
        sent.extend(
            chunks(
                sender,
                Event::ChunkReceived {
                    session: 1,
                    version: number,
                    received: upto,
                },
            )
            .0,
        );
    }
    got
}

/// Configurations do not queue up behind each other, are sent as a difference where that is possible, and a proxy is not up to
/// date before it has what was committed before its session.
#[test]
fn one_config_is_in_flight_and_the_next_is_sent_as_a_difference() {
    let mut sender = ConfigSender::default();
    assert_eq!(sender.step(0, Event::NewConfig(config(3))), []);
    let (sent, current) = chunks(
        &mut sender,
        Event::Opened {
            session: 1,
            version: None,
        },
    );
    assert!(sent.len() > 1 && sent.len() <= 3 && !current);
    for number in 4..8 {
        assert_eq!(
            sender.step(0, Event::NewConfig(config(number))),
            [],
            "nothing beside what is in flight"
        );
    }
    let full = receive_all(&mut sender, sent);
    assert!(full
        .iter()
        .all(|p| (p.version, p.base_version) == (3, None)));
    let (next, current) = chunks(
        &mut sender,
        Event::ConfigApplied {
            session: 1,
            version: Some(3),
        },
    );
    assert!(current, "it has what was newest when its session opened");
    assert_eq!(
        next.iter()
            .map(|p| (p.version, p.base_version))
            .collect::<Vec<_>>(),
        [(7, Some(3))]
    );
    assert!(
        next[0].total_bytes < 200,
        "{} bytes for a change of one line",
        next[0].total_bytes
    );
    let mut receiver = ConfigReceiver::default();
    assert_eq!(
        receiver.receive(Some(&config(3)), &next[0]),
        Received::Complete(config(7))
    );
    assert_eq!(
        chunks(
            &mut sender,
            Event::ConfigApplied {
                session: 1,
                version: Some(7)
            }
        ),
        (vec![], false)
    );
    assert_eq!((sender.in_flight(), sender.outdated_proxies()), (0, 0));
}

/// A difference that does not apply is followed by the full text; a configuration that a proxy refuses is not sent again.
#[test]
fn a_base_mismatch_is_answered_in_full_and_a_refused_config_is_not_sent_again() {
    let mut sender = ConfigSender::default();
    sender.step(0, Event::NewConfig(config(3)));
    sender.step(0, Event::NewConfig(config(4)));
    let (sent, _) = chunks(
        &mut sender,
        Event::Opened {
            session: 1,
            version: Some(3),
        },
    );
    assert_eq!((sent.len(), sent[0].base_version), (1, Some(3)));
    let (sent, _) = chunks(
        &mut sender,
        Event::ConfigApplied {
            session: 1,
            version: None,
        },
    );
    assert_eq!((sent[0].version, sent[0].base_version), (4, None));
    receive_all(&mut sender, sent);
    assert_eq!(
        chunks(
            &mut sender,
            Event::ConfigApplied {
                session: 1,
                version: Some(3)
            }
        ),
        (vec![], true),
        "it stays at 3"
    );
    let (sent, _) = chunks(&mut sender, Event::NewConfig(config(5)));
    assert_eq!((sent[0].version, sent[0].base_version), (5, Some(3)));
}

/// A proxy neither goes back to an older configuration nor puts together chunks of different ones.
#[test]
fn chunks_out_of_order_make_no_config() {
    let mut sender = ConfigSender::default();
    sender.step(0, Event::NewConfig(config(3)));
    let (sent, _) = chunks(
        &mut sender,
        Event::Opened {
            session: 1,
            version: None,
        },
    );
    let sent = receive_all(&mut sender, sent);
    let mut receiver = ConfigReceiver::default();
    assert_eq!(
        receiver.receive(Some(&config(3)), &sent[0]),
        Received::Stale
    );
    assert_eq!(
        receiver.receive(Some(&config(9)), &sent[0]),
        Received::Stale
    );
    assert_eq!(
        receiver.receive(None, &sent[1]),
        Received::BaseMismatch,
        "no beginning"
    );
    assert_eq!(
        receiver.receive(None, &sent[0]),
        Received::Incomplete(sent[1].offset)
    );
    assert_eq!(
        receiver.receive(
            None,
            &ConfigChunk {
                version: 4,
                ..sent[1].clone()
            }
        ),
        Received::BaseMismatch
    );
    assert_eq!(
        receiver.receive(None, &sent[1]),
        Received::BaseMismatch,
        "it starts over"
    );
    let last = sent.len() - 1;
    for (i, chunk) in sent.iter().enumerate() {
        let received = receiver.receive(Some(&config(1)), chunk);
        let expected = if i == last {
            Received::Complete(config(3))
        } else {
            Received::Incomplete(sent[i + 1].offset)
        };
        assert_eq!(received, expected);
    }
}

/// Guards against a configuration that counts as distributed while a proxy goes by the one before, and against one that waits for
/// a proxy that does not answer.
#[test]
fn a_configuration_is_distributed_once_the_proxies_that_answer_have_it() {
    let mut sender = ConfigSender::default();
    sender.step(0, Event::LeadershipChanged { term: Some(1) });
    assert!(sender.is_distributed(1), "there is no proxy");
    for session in [1, 2] {
        let version = None;
        sender.step(0, Event::Opened { session, version });
    }
    sender.step(0, Event::NewConfig(config(1)));
    assert!(!sender.is_distributed(1));
    let applied = |session, version| Event::ConfigApplied { session, version };
    sender.step(1, applied(1, Some(1)));
    assert!(!sender.is_distributed(1), "one proxy does not have it");
    // The other one acknowledges nothing for a second.
    sender.step(1_000_000, Event::Tick);
    assert!(sender.is_distributed(1));
    assert!(!sender.is_distributed(2), "the first one does not have it");
}

/// Version 0 is a version like others, although messages write it as they write an absent one: it is sent, it counts as in force
/// once it is, and the next one follows in full.
#[test]
fn version_0_is_distributed() {
    let mut sender = ConfigSender::default();
    sender.step(0, Event::NewConfig(config(0)));
    let opened = Event::Opened {
        session: 1,
        version: None,
    };
    let (sent, current) = chunks(&mut sender, opened);
    assert!(!sent.is_empty() && !current);
    assert!(!sender.is_distributed(0));
    let mut receiver = ConfigReceiver::default();
    let received = receive_all(&mut sender, sent);
    let received = received.iter().map(|chunk| receiver.receive(None, chunk));
    assert_eq!(received.last(), Some(Received::Complete(config(0))));
    let applied = Event::ConfigApplied {
        session: 1,
        version: None,
    };
    assert_eq!(chunks(&mut sender, applied), (vec![], true));
    assert!(sender.is_distributed(0));
    assert_eq!(sender.outdated_proxies(), 0);
    let (next, _) = chunks(&mut sender, Event::NewConfig(config(1)));
    assert!(next.iter().all(|chunk| chunk.base_version.is_none()));
    assert!(!next.is_empty());
}
