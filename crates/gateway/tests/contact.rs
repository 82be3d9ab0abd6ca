//! A counter's first contact, with real processes on loopback: what makes it ready, and whose words it takes.

use magpieline_control_plane::delta;
use magpieline_control_plane::messages::{
    frame, unframe, Down, Fenced, Hello, Listing, Opening, Piece, Up,
};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Longest wait for what is to come; many times what it takes where other tests take the processor.
const PATIENCE: Duration = Duration::from_secs(30);

const EDITION: &str = r#"{"edition":7,"fleets":[{"name":"s"}],"wickets":[{"depot":"h","regulations":[{"name":"r",
"sort":"safe","target":"1s","sorting":{"lane_prefix":"/a/"},"dispatch":{"service":"s","give_up":"9s","tries":2}}]}]}"#;

/// A process of the program, ended with the test.
struct Process(Child, PathBuf);

impl Process {
    fn start(role: &str, name: &str, settings: &str) -> Process {
        let folder = std::env::temp_dir().join(format!(
            "magpieline-gateway-contact-{name}-{}",
            std::process::id()
        ));
        std::fs::create_dir_all(&folder).expect("a folder");
        let file = folder.join("settings.toml");
        std::fs::write(
            &file,
            settings.replace("STORE", &folder.display().to_string()),
        )
        .expect("written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_magpieline-gateway"));
        command
            .args([role, "--log", "warn", "--settings"])
            .arg(&file);
        let started = command.stdout(Stdio::null()).stderr(Stdio::null()).spawn();
        Process(started.expect("the program starts"), folder)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
        let _ = std::fs::remove_dir_all(&self.1);
    }
}

/// The status of one call; None without an answer.
fn status(at: SocketAddr, head: &str, body: &str) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&at, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(PATIENCE)).ok()?;
    let length = body.len();
    let text = format!(
        "{head} HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}"
    );
    stream.write_all(text.as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    answer.split(' ').nth(1)?.parse().ok()
}

/// One end of a link between agents.
struct Link {
    stream: TcpStream,
    bytes: Vec<u8>,
}

impl Link {
    fn over(stream: TcpStream) -> Link {
        stream.set_read_timeout(Some(PATIENCE)).expect("set");
        Link {
            stream,
            bytes: Vec::new(),
        }
    }

    /// The next message; None at the end.
    fn next<T: for<'a> serde::Deserialize<'a>>(&mut self) -> Option<T> {
        loop {
            if let Some(message) = unframe(&mut self.bytes).expect("ours") {
                return Some(message);
            }
            let mut room = [0; 4096];
            match self.stream.read(&mut room) {
                Ok(0) => return None,
                Ok(length) => self.bytes.extend_from_slice(&room[..length]),
                Err(e) if e.kind() == ErrorKind::ConnectionReset => return None,
                Err(e) => panic!("nothing comes: {e}"),
            }
        }
    }

    fn say(&mut self, term: u64, word: Down) {
        match self.stream.write_all(&frame(&Fenced { term, word })) {
            // It refused a word before this one and has ended the link: what is read next tells.
            Err(e) if matches!(e.kind(), ErrorKind::BrokenPipe | ErrorKind::ConnectionReset) => {}
            written => written.expect("taken"),
        }
    }

    /// Reads on until the other side ends the link.
    fn ends(mut self) {
        while self.next::<Up>().is_some() {}
    }
}

/// A counter comes and says who it is.
fn comes(inner: &TcpListener) -> (Link, Hello) {
    loop {
        let (stream, _) = inner.accept().expect("a counter");
        let mut link = Link::over(stream);
        let opened = link.next::<Opening>();
        if let (Some(Opening::Counter), Some(Up::Hello(hello))) = (opened, link.next::<Up>()) {
            return (link, hello);
        }
    }
}

/// What a leader tells a counter first.
fn welcome(link: &mut Link, term: u64, edition: &str, number: u64, hello: &Hello) {
    link.say(term, Down::Services(Vec::new()));
    link.say(
        term,
        Down::Listing(Listing {
            whole: true,
            entries: Vec::new(),
        }),
    );
    let bytes = delta::diff("", edition);
    let length = bytes.len() as u32;
    link.say(
        term,
        Down::Piece(Piece {
            number,
            from: 0,
            length,
            at: 0,
            bytes,
        }),
    );
    link.say(
        term,
        Down::Welcome {
            core: Vec::new(),
            counters: 1,
            asked: hello.at,
        },
    );
}

/// Waits for a sign of life, by which all that was said before has been taken in.
fn reports(link: &mut Link) -> u64 {
    loop {
        match link.next::<Up>().expect("the link stands") {
            Up::Report(report) => return report.edition,
            _ => continue,
        }
    }
}

/// Guards against a counter that says it is ready before a leader has confirmed what it knows, and against one that takes
/// the word of a leader of the past.
#[test]
fn a_counter_is_ready_by_a_leaders_word_only_and_by_none_of_the_past() {
    let net = format!("127.70.{}", std::process::id() % 250);
    let inner = TcpListener::bind(format!("{net}.1:7720")).expect("free");
    let settings = format!(
        r#"
[self]
node = "counter-1"
machine_class = "counter"
ip = "{net}.9"
zone = "a"
region = "r"
[network]
inner_ports = [7720, 7735]
seed_depots = ["{net}.1:7080"]
[network.posts]
front = "{net}.9:7000"
ready = "{net}.9:7001"
"#
    );
    let _counter = Process::start("proxy", "counter", &settings);
    let ready = || {
        status(
            format!("{net}.9:7001").parse().expect("an address"),
            "GET /v1/ready",
            "",
        )
    };
    for _ in 0..10 {
        let (mut link, hello) = comes(&inner);
        assert_eq!((hello.term, hello.edition, ready()), (0, 0, Some(503)));
        link.say(
            9,
            Down::Elsewhere {
                leader: None,
                core: Vec::new(),
            },
        );
        link.ends();
    }
    // Told all but the welcome: the leader may have lost its majority meanwhile.
    let (mut link, _) = comes(&inner);
    link.say(
        5,
        Down::Listing(Listing {
            whole: true,
            entries: Vec::new(),
        }),
    );
    let bytes = delta::diff("", EDITION);
    let length = bytes.len() as u32;
    link.say(
        5,
        Down::Piece(Piece {
            number: 7,
            from: 0,
            length,
            at: 0,
            bytes,
        }),
    );
    assert_eq!(link.next::<Up>(), Some(Up::Holds { edition: 7 }));
    assert_eq!(ready(), Some(503));
    drop(link);
    let (mut link, hello) = comes(&inner);
    assert_eq!((hello.term, hello.edition), (5, 7));
    welcome(&mut link, 5, EDITION, 7, &hello);
    assert_eq!((reports(&mut link), ready()), (7, Some(200)));
    // A word of a lower term ends the link; so does a whole welcome in one.
    link.say(
        4,
        Down::Beat {
            counters: 1,
            asked: hello.at,
            edition: 7,
        },
    );
    link.ends();
    let (mut link, hello) = comes(&inner);
    welcome(
        &mut link,
        4,
        &EDITION.replace("\"edition\":7", "\"edition\":9"),
        9,
        &hello,
    );
    link.ends();
    let (mut link, hello) = comes(&inner);
    assert_eq!((hello.term, hello.edition, ready()), (5, 7, Some(200)));
    welcome(
        &mut link,
        6,
        &EDITION.replace("\"edition\":7", "\"edition\":8"),
        8,
        &hello,
    );
    assert_eq!(reports(&mut link), 8);
}

/// Guards against a sorting machine that can't show that it leads and hands out anything else than addresses, or answers
/// orders and reads.
#[test]
fn a_machine_that_is_left_alone_hands_out_and_takes_nothing() {
    let net = format!("127.71.{}", std::process::id() % 250);
    let start = |i: u8| {
        let settings = format!(
            r#"
[self]
node = "sorting-{i}"
machine_class = "sorting"
ip = "{net}.{i}"
zone = "a"
region = "r"
store_dir = "STORE"
first_run = true
[network]
inner_ports = [7720, 7735]
seed_depots = ["{net}.1:7080", "{net}.2:7080", "{net}.3:7080"]
[network.posts]
control = "{net}.{i}:7080"
"#
        );
        Process::start("controller", &format!("sorting-{i}"), &settings)
    };
    let mut machines: Vec<Option<Process>> = (1..=3).map(|i| Some(start(i))).collect();
    let control =
        |i: usize| -> SocketAddr { format!("{net}.{}:7080", i + 1).parse().expect("an address") };
    let call =
        |i, call: &str, body: &str| status(control(i), &format!("POST /v1/rpc?call={call}"), body);
    let taken = |i: &usize| call(*i, "config.replace", EDITION) == Some(200);
    let until = Instant::now() + PATIENCE;
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
        let mut link = Link::over(TcpStream::connect(inner).expect("it listens"));
        link.stream
            .write_all(&frame(&Opening::Counter))
            .expect("taken");
        let hello = Hello {
            node: "counter-1".into(),
            zone: "a".into(),
            incarnation: 5,
            ..Hello::default()
        };
        link.stream
            .write_all(&frame(&Up::Hello(hello)))
            .expect("taken");
        let mut words = Vec::new();
        while let Some(told) = link.next::<Fenced<Down>>() {
            words.push(told.word);
        }
        assert!(
            matches!(&words[..], [Down::Elsewhere { leader: None, .. }]),
            "{words:?}"
        );
    }
}
