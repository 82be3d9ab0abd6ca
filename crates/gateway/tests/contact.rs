//! A proxy's session with a leader, with real processes on loopback: what makes it ready, and whose messages it accepts.

#[path = "common/agents.rs"]
mod agents;

use agents::{
    accept, controller_settings, proxy_settings, reported_version, status, Connection, Process,
    TIMEOUT,
};
use magpieline_control_plane::delta;
use magpieline_control_plane::messages::{
    encode_frame, ConfigChunk, ConnectionPurpose, ControllerMessage, EndpointUpdate, Fenced, Hello,
    ProxyMessage,
};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Instant;

const EDITION: &str = r#"{"edition":7,"fleets":[{"name":"s"}],"wickets":[{"depot":"h","regulations":[{"name":"r",
"sort":"safe","target":"1s","sorting":{"lane_prefix":"/a/"},"dispatch":{"service":"s","give_up":"9s","tries":2}}]}]}"#;

/// Sends what a leader tells a proxy first.
fn welcome(connection: &mut Connection, term: u64, edition: &str, number: u64, hello: &Hello) {
    connection.send(term, ControllerMessage::Services(Vec::new()));
    connection.send(
        term,
        ControllerMessage::Endpoints(EndpointUpdate {
            is_full: true,
            endpoints: Vec::new(),
        }),
    );
    let bytes = delta::diff("", edition);
    let length = bytes.len() as u32;
    connection.send(
        term,
        ControllerMessage::ConfigChunk(ConfigChunk {
            version: number,
            base_version: None,
            total_bytes: length,
            offset: 0,
            bytes,
        }),
    );
    // A leader waits until it is in force, or the connection has ended.
    let applied = connection.next::<ProxyMessage>();
    let expected = ProxyMessage::ConfigApplied {
        version: Some(number),
    };
    assert!(applied.is_none_or(|applied| applied == expected));
    connection.send(
        term,
        ControllerMessage::Welcome {
            controllers: Vec::new(),
            proxies: 1,
            confirmed_at: hello.sent_at,
        },
    );
}

/// Guards against a proxy that says it is ready before a leader has confirmed what it knows, and against one that accepts
/// the message of a leader of the past.
#[test]
fn a_proxy_is_ready_by_a_leaders_message_only_and_by_none_of_the_past() {
    let net = format!("127.70.{}", std::process::id() % 250);
    let inner = TcpListener::bind(format!("{net}.1:7720")).expect("free");
    let settings = proxy_settings(&net, "");
    let _proxy = Process::start("proxy", "proxy", &settings);
    let ready = || {
        status(
            format!("{net}.9:7001").parse().expect("an address"),
            "GET /v1/ready",
            "",
        )
    };
    for _ in 0..10 {
        let (mut connection, hello) = accept(&inner);
        assert_eq!(
            (hello.term, hello.config_version, ready()),
            (0, None, Some(503))
        );
        connection.send(
            9,
            ControllerMessage::Redirect {
                leader: None,
                controllers: Vec::new(),
            },
        );
        connection.wait_for_end();
    }
    // It was told all but the welcome: the leader may have lost its majority meanwhile.
    let (mut connection, _) = accept(&inner);
    connection.send(
        5,
        ControllerMessage::Endpoints(EndpointUpdate {
            is_full: true,
            endpoints: Vec::new(),
        }),
    );
    let bytes = delta::diff("", EDITION);
    let length = bytes.len() as u32;
    connection.send(
        5,
        ControllerMessage::ConfigChunk(ConfigChunk {
            version: 7,
            base_version: None,
            total_bytes: length,
            offset: 0,
            bytes,
        }),
    );
    assert_eq!(
        connection.next::<ProxyMessage>(),
        Some(ProxyMessage::ConfigApplied { version: Some(7) })
    );
    assert_eq!(ready(), Some(503));
    drop(connection);
    let (mut connection, hello) = accept(&inner);
    assert_eq!((hello.term, hello.config_version), (5, Some(7)));
    welcome(&mut connection, 5, EDITION, 7, &hello);
    assert_eq!(
        (reported_version(&mut connection), ready()),
        (Some(7), Some(200))
    );
    // A message of a lower term ends the connection; so does a whole welcome in one.
    connection.send(
        4,
        ControllerMessage::Heartbeat {
            proxies: 1,
            confirmed_at: hello.sent_at,
            config_version: Some(7),
        },
    );
    connection.wait_for_end();
    let (mut connection, hello) = accept(&inner);
    welcome(
        &mut connection,
        4,
        &EDITION.replace("\"edition\":7", "\"edition\":9"),
        9,
        &hello,
    );
    connection.wait_for_end();
    let (mut connection, hello) = accept(&inner);
    assert_eq!(
        (hello.term, hello.config_version, ready()),
        (5, Some(7), Some(200))
    );
    welcome(
        &mut connection,
        6,
        &EDITION.replace("\"edition\":7", "\"edition\":8"),
        8,
        &hello,
    );
    assert_eq!(reported_version(&mut connection), Some(8));
}

/// Guards against a controller that can't show that it leads and hands out anything else than addresses, or answers
/// orders and reads.
#[test]
fn a_partitioned_controller_hands_out_and_accepts_nothing() {
    let net = format!("127.71.{}", std::process::id() % 250);
    let start = |i: usize| {
        let settings = controller_settings(&net, i, 3, "");
        Process::start("controller", &format!("sorting-{i}"), &settings)
    };
    let mut machines: Vec<Option<Process>> = (1..=3).map(|i| Some(start(i))).collect();
    let control =
        |i: usize| -> SocketAddr { format!("{net}.{}:7080", i + 1).parse().expect("an address") };
    let call =
        |i, call: &str, body: &str| status(control(i), &format!("POST /v1/rpc?call={call}"), body);
    let taken = |i: &usize| call(*i, "config.replace", EDITION) == Some(200);
    let until = Instant::now() + TIMEOUT;
    let leader = (0..3)
        .cycle()
        .find(|i| taken(i) || Instant::now() > until)
        .filter(taken)
        .expect("one leads");
    machines
        .iter_mut()
        .enumerate()
        .filter(|(i, _)| *i != leader)
        .for_each(|(_, machine)| drop(machine.take()));
    // It holds the edition, and answers nobody by it.
    for _ in 0..3 {
        let next = EDITION.replace("\"edition\":7", "\"edition\":9");
        assert_eq!(call(leader, "config.replace", &next), Some(503));
        assert_eq!(
            call(leader, "config.replace", EDITION),
            Some(503),
            "not even what it holds"
        );
        assert_eq!(
            call(
                leader,
                "config.replace",
                &EDITION.replace("\"edition\":7", "\"edition\":3")
            ),
            Some(503)
        );
        assert_eq!(call(leader, "config.read", ""), Some(503));
        assert_eq!(call(leader, "editions.read&of=s", ""), Some(503));
        let order = r#"{"service":"s","to_edition":"v2","within":"12s"}"#;
        assert_eq!(call(leader, "editions.begin", order), Some(503));
        let inner = format!("{net}.{}:7720", leader + 1);
        let mut connection = Connection::new(TcpStream::connect(inner).expect("it listens"));
        connection
            .stream
            .write_all(&encode_frame(&ConnectionPurpose::ProxySession))
            .expect("taken");
        let hello = Hello {
            node: "counter-1".into(),
            zone: "a".into(),
            incarnation: 5,
            ..Hello::default()
        };
        connection
            .stream
            .write_all(&encode_frame(&ProxyMessage::Hello(hello)))
            .expect("taken");
        let mut messages = Vec::new();
        while let Some(told) = connection.next::<Fenced<ControllerMessage>>() {
            messages.push(told.message);
        }
        assert!(
            matches!(
                &messages[..],
                [ControllerMessage::Redirect { leader: None, .. }]
            ),
            "{messages:?}"
        );
    }
}

/// Guards against a configuration that is acknowledged while a proxy that answers still goes by the one before: how long it may do
/// so counts from the acknowledgement.
#[test]
fn a_configuration_is_acknowledged_once_it_is_in_force_at_the_proxies() {
    let net = format!("127.76.{}", std::process::id() % 250);
    let settings = controller_settings(&net, 1, 1, "");
    let _controller = Process::start("controller", "acknowledging", &settings);
    let control: SocketAddr = format!("{net}.1:7080").parse().expect("an address");
    let send = move |edition: &str| status(control, "POST /v1/rpc?call=config.replace", edition);
    let until = Instant::now() + TIMEOUT;
    while send(EDITION) != Some(200) {
        assert!(Instant::now() < until, "the controller does not lead");
    }
    let inner = format!("{net}.1:7720");
    let mut proxy = Connection::new(TcpStream::connect(inner).expect("it listens"));
    let hello = Hello {
        node: "counter-1".into(),
        zone: "a".into(),
        incarnation: 5,
        config_version: Some(7),
        ..Hello::default()
    };
    let purpose = encode_frame(&ConnectionPurpose::ProxySession);
    proxy.stream.write_all(&purpose).expect("taken");
    let hello = encode_frame(&ProxyMessage::Hello(hello));
    proxy.stream.write_all(&hello).expect("taken");
    next_of(&mut proxy, |message| {
        matches!(message, ControllerMessage::Welcome { .. })
    });
    let next = EDITION.replace("\"edition\":7", "\"edition\":9");
    let call = std::thread::spawn(move || send(&next));
    next_of(&mut proxy, |message| {
        matches!(message, ControllerMessage::ConfigChunk(_))
    });
    next_of(&mut proxy, |message| {
        matches!(message, ControllerMessage::Heartbeat { .. })
    });
    assert!(!call.is_finished(), "acknowledged before it is in force");
    let applied = encode_frame(&ProxyMessage::ConfigApplied { version: Some(9) });
    proxy.stream.write_all(&applied).expect("taken");
    assert_eq!(call.join().expect("answered"), Some(200));
}

/// Reads on until a message comes that is looked for.
fn next_of(connection: &mut Connection, is_wanted: impl Fn(&ControllerMessage) -> bool) {
    loop {
        let message = connection.next::<Fenced<ControllerMessage>>();
        let message = message.expect("the connection stands").message;
        if is_wanted(&message) {
            return;
        }
    }
}
