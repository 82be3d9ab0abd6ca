//! A proxy's session with the leader: how it finds it, whom it trusts, and for how long.

use magpieline_control_plane::controller_client::{Action, ControllerClient, Event};
use magpieline_control_plane::messages::{ControllerMessage, Fenced};
use std::net::SocketAddrV4;

/// A connection that is not up after this is given up.
const CONNECT_TIMEOUT: u64 = 250_000;

fn at(n: u8) -> SocketAddrV4 {
    SocketAddrV4::new([10, 0, 0, n].into(), 7720)
}

fn redirect(
    term: u64,
    leader: Option<SocketAddrV4>,
    controllers: &[SocketAddrV4],
) -> Fenced<ControllerMessage> {
    Fenced {
        term,
        message: ControllerMessage::Redirect {
            leader,
            controllers: controllers.to_vec(),
        },
    }
}

fn welcome(term: u64, confirmed_at: u64) -> Fenced<ControllerMessage> {
    Fenced {
        term,
        message: ControllerMessage::Welcome {
            controllers: vec![at(1), at(2), at(3)],
            proxies: 9,
            confirmed_at,
        },
    }
}

fn heartbeat(term: u64, confirmed_at: u64) -> Fenced<ControllerMessage> {
    Fenced {
        term,
        message: ControllerMessage::Heartbeat {
            proxies: 9,
            confirmed_at,
            config_version: None,
        },
    }
}

/// A client that follows the first controller in `term` from `now` on.
fn following(now: u64, term: u64) -> ControllerClient {
    let mut client = ControllerClient::new(now, vec![at(1), at(2), at(3)], 2);
    assert_eq!(client.step(now, Event::Tick), [Action::Connect(at(1))]);
    assert_eq!(client.step(now, Event::Connected), [Action::SendHello]);
    assert_eq!(
        client.step(now, Event::Received(&welcome(term, now))),
        [Action::Accept, Action::SendReport]
    );
    client
}

/// A client leaves a dead seed, and finds a leader that is no seed.
#[test]
fn a_client_is_redirected_from_a_live_seed_to_the_leader() {
    let mut client = ControllerClient::new(0, vec![at(1), at(2)], 1);
    assert_eq!(client.step(0, Event::Tick), [Action::Connect(at(1))]);
    // The first one is silent: it is given up in time, and the second one asked.
    assert_eq!(
        client.step(CONNECT_TIMEOUT, Event::Tick),
        [Action::Disconnect, Action::Connect(at(2))]
    );
    assert_eq!(
        client.step(CONNECT_TIMEOUT + 1, Event::Connected),
        [Action::SendHello]
    );
    let message = redirect(1, Some(at(5)), &[at(2), at(5)]);
    assert_eq!(
        client.step(CONNECT_TIMEOUT + 2, Event::Received(&message)),
        [Action::Disconnect, Action::Connect(at(5))]
    );
    client.step(CONNECT_TIMEOUT + 3, Event::Connected);
    assert_eq!(
        client.step(
            CONNECT_TIMEOUT + 4,
            Event::Received(&welcome(1, CONNECT_TIMEOUT + 3))
        ),
        [Action::Accept, Action::SendReport]
    );
    assert!(client.is_following(CONNECT_TIMEOUT + 5) && client.proxies() == 9);
}

/// Seeds that are replaced are not asked any more.
#[test]
fn new_seeds_replace_the_old_ones() {
    let mut client = ControllerClient::new(0, vec![at(1)], 0);
    assert_eq!(client.step(0, Event::Tick), [Action::Connect(at(1))]);
    client.set_seeds(vec![at(2)]);
    assert_eq!(
        client.step(CONNECT_TIMEOUT, Event::Tick),
        [Action::Disconnect, Action::Connect(at(2))]
    );
}

/// Behind a partition that nothing reports, a client does not go on as if in contact.
#[test]
fn a_silent_leader_is_left_and_the_others_are_asked() {
    let mut client = ControllerClient::new(0, vec![at(1), at(2), at(3)], 0);
    client.step(0, Event::Tick);
    client.step(1, Event::Connected);
    client.step(2, Event::Received(&welcome(1, 1)));
    let mut asked = Vec::new();
    let mut now = 2;
    while now < 4_000_000 {
        now = client.next_wake().max(now + 1);
        asked.extend(
            client
                .step(now, Event::Tick)
                .into_iter()
                .filter(|a| matches!(a, Action::Connect(_))),
        );
    }
    assert!(!client.is_following(now) && client.time_without_leader(now) > 2_500_000);
    for n in 1..=3 {
        assert!(
            asked.contains(&Action::Connect(at(n))),
            "{n} was never asked: {asked:?}"
        );
    }
}

/// After a newer leader has spoken, messages of an older one are accepted neither on its own connection nor on a new one.
#[test]
fn a_message_of_a_lower_term_is_rejected_and_its_connection_closed() {
    let mut client = following(0, 4);
    assert_eq!(
        client.step(1, Event::Received(&heartbeat(3, 0))),
        [Action::Disconnect]
    );
    let now = client.next_wake();
    assert_eq!(client.step(now, Event::Tick), [Action::Connect(at(2))]);
    client.step(now, Event::Connected);
    assert_eq!(
        client.step(now, Event::Received(&welcome(3, now))),
        [Action::Disconnect]
    );
    assert_eq!((client.term(), client.is_following(now)), (4, false));
    let now = client.next_wake();
    assert_eq!(client.step(now, Event::Tick), [Action::Connect(at(3))]);
    client.step(now, Event::Connected);
    assert_eq!(
        client.step(now, Event::Received(&welcome(5, now))),
        [Action::Accept, Action::SendReport]
    );
    assert_eq!((client.term(), client.is_following(now)), (5, true));
}

/// Messages of two leaderships are not mixed on one connection.
#[test]
fn a_connection_belongs_to_one_term() {
    let mut client = following(0, 4);
    assert_eq!(
        client.step(1, Event::Received(&heartbeat(5, 0))),
        [Action::Disconnect]
    );
    assert_eq!(client.term(), 4);
}

/// A controller that stood for election in vain must not cut a proxy off from the leader by its term, and one that is behind
/// must not redirect it to a leader of the past.
#[test]
fn a_redirect_moves_no_term_and_an_outdated_one_is_ignored() {
    let mut client = ControllerClient::new(0, vec![at(1), at(2), at(3)], 2);
    client.step(0, Event::Tick);
    client.step(0, Event::Connected);
    client.step(0, Event::Received(&redirect(9, Some(at(2)), &[])));
    client.step(0, Event::Connected);
    assert_eq!(
        client.step(0, Event::Received(&welcome(4, 0))),
        [Action::Accept, Action::SendReport]
    );
    client.step(1, Event::Disconnected);
    client.step(1, Event::Connected);
    assert_eq!(
        client.step(1, Event::Received(&redirect(3, Some(at(7)), &[at(7)]))),
        [Action::Disconnect]
    );
    assert!(!client.controllers().contains(&at(7)) && client.next_wake() > 1);
}

/// Heartbeats that were delayed on their way name an old report, and count from there.
#[test]
fn a_heartbeat_is_as_old_as_the_report_that_it_names() {
    let mut client = following(0, 4);
    assert!(client.is_following(900_000));
    let mut now = 0;
    // Heartbeats arrive all the time, and all name the hello.
    while now < 1_900_000 {
        now += 300_000;
        client.step(now, Event::Received(&heartbeat(4, 0)));
    }
    assert!(!client.is_following(2_000_000) && client.confirmed_at() == Some(0));
    client.step(2_000_001, Event::Received(&heartbeat(4, 1_500_000)));
    assert!(client.is_following(2_000_002));
    // A connection on which only old messages arrive is closed.
    let mut is_closed = false;
    while !is_closed && now < 10_000_000 {
        now += 300_000;
        is_closed = client
            .step(now, Event::Received(&heartbeat(4, 1_500_000)))
            .contains(&Action::Disconnect);
    }
    assert!(is_closed && now < 7_000_000, "{now}");
}
