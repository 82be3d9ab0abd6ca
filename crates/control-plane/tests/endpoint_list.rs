//! The leader's copy of the platform's list.

use magpieline_control_plane::endpoint_list::{EndpointList, EndpointMap, FirstVersion};
use magpieline_control_plane::messages::{Endpoint, EndpointState};
use std::net::SocketAddrV4;

const S: u64 = 1_000_000;

fn endpoint(service: &str, version: &str, state: EndpointState) -> Endpoint {
    Endpoint {
        service: service.into(),
        address: SocketAddrV4::new([10, 0, 0, 1].into(), 80),
        zone: "a".into(),
        version: version.into(),
        concurrency: 2,
        state,
        warmup_left: 0,
    }
}

fn list<const N: usize>(entries: [(&str, Endpoint); N]) -> EndpointMap {
    entries.map(|(id, endpoint)| (id.into(), endpoint)).into()
}

fn ready() -> Endpoint {
    endpoint("s", "v1", EndpointState::Ready)
}

/// Guards against a newcomer that is sent less than the others know, and against changes that are sent to nobody.
#[test]
fn proxies_are_sent_the_list_in_full_and_then_what_has_changed() {
    let mut known = EndpointList::default();
    assert_eq!(known.full_update(0), None);
    let first = known.replace(S, list([("a", ready()), ("b", ready())]));
    assert!(first.as_ref().is_some_and(|update| update.is_full));
    assert_eq!(first, known.full_update(S));
    assert_eq!(
        known.replace(2 * S, list([("a", ready()), ("b", ready())])),
        None
    );
    let draining = endpoint("s", "v1", EndpointState::Draining);
    let update = known.replace(3 * S, list([("a", draining.clone()), ("c", ready())]));
    let update = update.expect("much has changed");
    assert!(!update.is_full);
    assert_eq!(
        update.endpoints,
        [
            ("a".into(), Some(draining)),
            ("c".into(), Some(ready())),
            ("b".into(), None)
        ]
    );
    known.clear();
    assert_eq!((known.count(), known.read_at()), (None, None));
}

/// Guards against the time that passes being sent as a change, and against a newcomer that takes a warm endpoint for a cold one.
#[test]
fn the_time_left_to_warm_up_passes_by_itself() {
    let cold = |warmup_left| Endpoint {
        warmup_left,
        ..ready()
    };
    let mut known = EndpointList::default();
    known.replace(S, list([("a", cold(3 * S))]));
    let update = known.full_update(2 * S).expect("it was read");
    assert_eq!(update.endpoints, [("a".into(), Some(cold(2 * S)))]);
    assert_eq!(known.replace(2 * S, list([("a", cold(2 * S))])), None);
}

/// Guards against a version that is set while another one is there, too.
#[test]
fn a_services_first_version_is_the_only_one_that_is_listed() {
    let mut known = EndpointList::default();
    let of = |service, version| endpoint(service, version, EndpointState::Ready);
    let entries = [
        ("a", of("one", "v1")),
        ("b", of("one", "v1")),
        ("c", of("two", "v1")),
        ("d", of("two", "v2")),
        ("e", of("known", "v3")),
    ];
    known.replace(S, list(entries));
    let expected = FirstVersion {
        service: "one".into(),
        version: "v1".into(),
    };
    assert_eq!(
        known.first_versions(|service| service == "known"),
        [expected]
    );
}

/// Guards against a rollout that is judged by endpoints that were listed long ago.
#[test]
fn an_old_list_holds_no_endpoints_to_decide_by() {
    let mut known = EndpointList::default();
    let cold = Endpoint {
        warmup_left: 2 * S,
        ..ready()
    };
    known.replace(S, list([("a", cold.clone()), ("b", ready())]));
    let recent: Vec<_> = known.recent(4 * S, 3 * S).expect("read lately").collect();
    assert_eq!(recent, [(&cold, 3 * S), (&ready(), S)]);
    assert!(known.recent(4 * S + 1, 3 * S).is_none());
}
