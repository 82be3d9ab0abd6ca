//! Streams cut at any place, streams that two readers would read differently, and streams that are odd but proper.

use super::request_framing::{
    ConnectionStatus, ParseStep, RequestFraming, RequestLimits, RequestParser,
};
use super::response_framing::{ResponseFault, ResponseFraming};
use super::FramingError;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng as Dice;
use rstest::rstest;

const LIMITS: RequestLimits = RequestLimits {
    head_bytes: 1000,
    head_timeout: 3_000,
    body_idle_timeout: 15_000,
    keep_alive_timeout: 15_000,
};

/// How a stream is cut into the pieces that come.
#[derive(Clone, Copy, Debug)]
enum Cut {
    Whole,
    Bytes,
    Dice(u64),
}

fn pieces(stream: &[u8], cut: Cut) -> Vec<&[u8]> {
    let mut dice = Dice::seed_from_u64(if let Cut::Dice(seed) = cut { seed } else { 0 });
    let (mut rest, mut pieces) = (stream, Vec::new());
    while !rest.is_empty() {
        let len = match cut {
            Cut::Whole => rest.len(),
            Cut::Bytes => 1,
            Cut::Dice(_) => dice.gen_range(1..=rest.len().min(60)),
        };
        pieces.push(&rest[..len]);
        rest = &rest[len..];
    }
    pieces
}

fn cuts() -> impl Iterator<Item = Cut> {
    [Cut::Whole, Cut::Bytes]
        .into_iter()
        .chain((0..20).map(Cut::Dice))
}

/// What a server sees of a stream: the bytes of each request, and how the connection stands at the end. Answers are
/// given as soon as a request is whole.
fn seen(stream: &[u8], cut: Cut) -> (Vec<Vec<u8>>, ConnectionStatus, Option<FramingError>) {
    let (mut framing, mut requests) = (RequestFraming::new(0), Vec::<(u64, Vec<u8>)>::new());
    for piece in pieces(stream, cut) {
        assert!(framing.capacity(&LIMITS) >= piece.len());
        framing.feed(0, &LIMITS, piece);
        while let Some((number, _)) = framing.current() {
            let shown = framing.visible().to_vec();
            framing.consume(0, shown.len());
            match requests.last_mut().filter(|(n, _)| *n == number) {
                Some((_, bytes)) => bytes.extend(shown),
                None => requests.push((number, shown)),
            }
            // The framing does not say when a request is whole: a server finds that out from the bytes.
            if !matches!(reference(&requests[requests.len() - 1].1), (1, End::Sound)) {
                break;
            }
            framing.on_answered();
            framing.advance(0, &LIMITS);
        }
    }
    (
        requests.into_iter().map(|(_, bytes)| bytes).collect(),
        framing.status(),
        framing.body_error(),
    )
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Sound,
    Incomplete,
    Unsound,
}

/// Another, plainer reading of a stream, to compare with: how many requests are whole, and how it goes on.
fn reference(stream: &[u8]) -> (usize, End) {
    let (ends, end) = reference_ends(stream);
    (ends.len(), end)
}

fn reference_ends(stream: &[u8]) -> (Vec<usize>, End) {
    let (mut at, mut ends) = (0, Vec::new());
    loop {
        while stream[at..].starts_with(b"\r\n") {
            at += 2;
        }
        if at == stream.len() {
            return (ends, End::Sound);
        }
        let Some(len) = stream[at..].windows(4).position(|w| w == b"\r\n\r\n") else {
            return (ends, End::Incomplete);
        };
        let head: String = stream[at..at + len].iter().map(|b| *b as char).collect();
        at += len + 4;
        let (mut length, mut chunked) = (Vec::new(), Vec::new());
        for line in head.split("\r\n") {
            if line.contains(['\r', '\n', '\0']) || line.starts_with([' ', '\t']) {
                return (ends, End::Unsound);
            }
            let (name, value) = line.split_once(':').unwrap_or((line, ""));
            match name.trim().to_lowercase().as_str() {
                "content-length" => length.push(value.trim().to_owned()),
                "transfer-encoding" => chunked.push(value.trim().to_lowercase()),
                _ => {}
            }
        }
        match (length.as_slice(), chunked.as_slice()) {
            ([], []) => {}
            ([one], []) if one.bytes().all(|b| b.is_ascii_digit()) => match one.parse::<usize>() {
                Ok(length) if length <= stream.len() - at => at += length,
                Ok(_) => return (ends, End::Incomplete),
                Err(_) => return (ends, End::Unsound),
            },
            ([], [one]) if one == "chunked" => loop {
                let Some(len) = stream[at..].windows(2).position(|w| w == b"\r\n") else {
                    return (ends, End::Incomplete);
                };
                let line: String = stream[at..at + len].iter().map(|b| *b as char).collect();
                at += len + 2;
                let size = line.split([';', ' ']).next().unwrap_or("");
                let Some(size) = usize::from_str_radix(size, 16)
                    .ok()
                    .filter(|_| !size.starts_with('+'))
                else {
                    return (ends, End::Unsound);
                };
                if size == 0 {
                    let trailers = [b"\r\n", &stream[at..]].concat();
                    match trailers.windows(4).position(|w| w == b"\r\n\r\n") {
                        Some(len) => at += len + 2,
                        None => return (ends, End::Incomplete),
                    }
                    break;
                }
                match stream[at..].get(size..) {
                    Some([b'\r', b'\n', ..]) => at += size + 2,
                    Some([b'\r'] | []) | None => return (ends, End::Incomplete),
                    Some(_) => return (ends, End::Unsound),
                }
            },
            _ => return (ends, End::Unsound),
        }
        ends.push(at);
    }
}

/// Guards against smuggling: of a request that another reader could end elsewhere, or read as another one, nothing
/// is seen by the server, nor of what is hidden behind it; what came before it is served.
#[rstest]
#[case("GET /a HTTP/1.1\nHost: a\n\n", FramingError::BareLineFeed)]
#[case("GET /a HTTP/1.1\r\nHost: a\nX: b\r\n\r\n", FramingError::BareLineFeed)]
#[case(
    "GET /a HTTP/1.1\r\nHost: a\r\nX: b\r\n c\r\n\r\n",
    FramingError::HeaderLine
)]
#[case("GET /a HTTP/1.1\r\n Host: a\r\n\r\n", FramingError::HeaderLine)]
#[case(
    "GET /a HTTP/1.1\r\nHost: a\r\nContent-Length : 5\r\n\r\nabcde",
    FramingError::HeaderLine
)]
#[case(
    "GET /a HTTP/1.1\r\nHost: a\r\nContent-Length\r\n\r\n",
    FramingError::HeaderLine
)]
#[case("GET /a HTTP/1.1\r\nHost: a\r\n: b\r\n\r\n", FramingError::HeaderLine)]
#[case(
    "GET /a HTTP/1.1\r\nHost: a\r\nX\u{1}: b\r\n\r\n",
    FramingError::HeaderLine
)]
#[case(
    "GET /a HTTP/1.1\r\nHost: a\r\nX: b\0\r\n\r\n",
    FramingError::ControlCharacter
)]
#[case(
    "GET /a HTTP/1.1\r\nHost: a\r\nX: b\rContent-Length: 9\r\n\r\n",
    FramingError::ControlCharacter
)]
#[case("GET /a HTTP/1.1\r\n\r\n", FramingError::Host)]
#[case("GET /a HTTP/1.1\r\nHost: a\r\nhost: a\r\n\r\n", FramingError::Host)]
#[case(
    "GET /a HTTP/1.1\r\nHost: a\r\nTry-Id: x\r\ntry-id: x\r\n\r\n",
    FramingError::HeaderLine
)]
#[case("GET /a HTTP/1.1\r\nHost: a b\r\n\r\n", FramingError::Host)]
#[case("GET /a HTTP/1.1\r\nHost: a/b\r\n\r\n", FramingError::Host)]
#[case("GET http://b/a HTTP/1.1\r\nHost: a\r\n\r\n", FramingError::Host)]
#[case(
    "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    FramingError::ContentLength
)]
#[case(
    "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nabcdef",
    FramingError::ContentLength
)]
#[case(
    "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nabcde",
    FramingError::ContentLength
)]
#[case(
    "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 5, 5\r\n\r\nabcde",
    FramingError::ContentLength
)]
#[case(
    "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: +5\r\n\r\nabcde",
    FramingError::ContentLength
)]
#[case(
    "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 0x5\r\n\r\nabcde",
    FramingError::ContentLength
)]
#[case(
    "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 5 5\r\n\r\nabcde",
    FramingError::ContentLength
)]
#[case(
    "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length:\r\n\r\n",
    FramingError::ContentLength
)]
#[case(
    "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 18446744073709551617\r\n\r\nx",
    FramingError::ContentLength
)]
#[case(
    "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    FramingError::TransferCoding
)]
#[case(
    "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
    FramingError::TransferCoding
)]
#[case("POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n", FramingError::TransferCoding)]
#[case(
    "POST /a HTTP/1.0\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    FramingError::TransferCoding
)]
#[case("GET  /a HTTP/1.1\r\nHost: a\r\n\r\n", FramingError::StartLine)]
#[case("GET /a b HTTP/1.1\r\nHost: a\r\n\r\n", FramingError::StartLine)]
#[case("GET /a#b HTTP/1.1\r\nHost: a\r\n\r\n", FramingError::StartLine)]
#[case("GET /a HTTP/1.1 \r\nHost: a\r\n\r\n", FramingError::StartLine)]
#[case("GET /a HTTP/2.0\r\nHost: a\r\n\r\n", FramingError::StartLine)]
#[case("GET /a http/1.1\r\nHost: a\r\n\r\n", FramingError::StartLine)]
#[case("GET /a\r\nHost: a\r\n\r\n", FramingError::StartLine)]
#[case("G(T /a HTTP/1.1\r\nHost: a\r\n\r\n", FramingError::StartLine)]
#[case("\u{16}\u{3}\u{1}", FramingError::StartLine)]
#[case("\nGET /a HTTP/1.1\r\nHost: a\r\n\r\n", FramingError::StartLine)]
fn of_what_could_be_read_in_two_ways_nothing_is_seen(
    #[case] text: &str,
    #[case] wrong: FramingError,
) {
    let before = "GET /b HTTP/1.1\r\nHost: a\r\n\r\n";
    let stream = format!("{before}{text}GET /hidden HTTP/1.1\r\nHost: a\r\n\r\n");
    for cut in cuts() {
        let (requests, stand, _) = seen(stream.as_bytes(), cut);
        assert_eq!(requests, [before.as_bytes()], "{cut:?}");
        assert_eq!(stand, ConnectionStatus::Rejected(wrong), "{cut:?}");
        assert_eq!(wrong.status(), 400);
    }
}

/// Guards against smuggling by chunks: a body that can't be framed for sure never becomes whole.
#[rstest]
#[case("+5\r\nabcde\r\n0\r\n\r\n")]
#[case("0x5\r\nabcde\r\n0\r\n\r\n")]
#[case("5 \r\nabcde\r\n0\r\n\r\n")]
#[case(" 5\r\nabcde\r\n0\r\n\r\n")]
#[case("\r\nabcde\r\n0\r\n\r\n")]
#[case("00000000000000005\r\nabcde\r\n0\r\n\r\n")]
#[case("5\nabcde\r\n0\r\n\r\n")]
#[case("5\r\nabcde\n0\r\n\r\n")]
#[case("5\r\nabcdef\r\n0\r\n\r\n")]
#[case("5;a\nb\r\nabcde\r\n0\r\n\r\n")]
#[case("5;\r\nabcde\r\n0\r\n\r\n")]
#[case("5;a=\"b\r\nabcde\r\n0\r\n\r\n")]
#[case("0\r\nX y\r\n\r\n")]
#[case("0\r\nX: y\n\r\n")]
#[case("0\r\n\n")]
fn chunks_that_could_be_read_in_two_ways_end_the_body(#[case] chunks: &str) {
    let head = "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    let stream = format!("{head}3\r\nabc\r\n{chunks}GET /hidden HTTP/1.1\r\nHost: a\r\n\r\n");
    for cut in cuts() {
        let (requests, stand, fault) = seen(stream.as_bytes(), cut);
        assert!(
            requests.len() == 1 && !requests[0].ends_with(b"0\r\n\r\n"),
            "{cut:?}"
        );
        assert!(!requests[0].windows(7).any(|w| w == b"/hidden"), "{cut:?}");
        assert_eq!(
            (stand, fault),
            (ConnectionStatus::Open, Some(FramingError::Chunk)),
            "{cut:?}"
        );
    }
}

/// Guards against refusing what is proper (DENIED): odd requests are seen whole, and so is the one behind them.
#[rstest]
#[case("BREW /a HTTP/1.1\r\nHost: a\r\n\r\n")]
#[case("!#$%&'*+-.^_`|~09 /a HTTP/1.1\r\nHost: a\r\n\r\n")]
#[case("OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n")]
#[case("GET /?a=b&c=%20;d:e@f,g[]{}|\"<>\\^` HTTP/1.1\r\nHost: a\r\n\r\n")]
#[case("GET http://A.example:80/x?y HTTP/1.1\r\nHost: a.EXAMPLE:80\r\n\r\n")]
#[case("GET /a HTTP/1.1\r\nhOsT:a\r\n\r\n")]
#[case("GET /a HTTP/1.1\r\nHost:\r\nX:\r\nY: \t \r\n\r\n")]
#[case("GET /a HTTP/1.1\r\nHost: [::1]:8080\r\nX: \"b, c\"; d=\u{e9}\u{fc}\t.\t\r\n\r\n")]
#[case("\r\n\r\nGET /a HTTP/1.1\r\nHost: a\r\n\r\n")]
#[case("GET /a HTTP/1.0\r\nConnection: Keep-Alive\r\n\r\n")]
#[case("GET /a HTTP/1.1\r\nHost: a\r\nConnection: x, keep-alive\r\n\r\n")]
#[case("GET /a HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")]
#[case("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 0005\r\nExpect: 100-continue\r\n\r\nGET /")]
#[case("GET /a HTTP/1.1\r\nHost: a\r\nContent-Length:\t3 \r\n\r\n\r\n\n")]
#[case("PUT /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: Chunked\r\n\r\n0\r\n\r\n")]
#[case("PUT /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n00a\r\n0123456789\r\n0\r\nX: y\r\nZ:\r\n\r\n")]
#[case("PUT /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2;a\r\n\r\n\r\n1 ;b=c ; d = \"e;\\\"f\"\r\nx\r\n0;g=\"\"\r\n\r\n")]
fn what_is_odd_but_proper_is_seen_whole(#[case] text: &str) {
    let behind = "GET /b HTTP/1.1\r\nHost: a\r\n\r\n";
    let stream = [text.as_bytes(), behind.as_bytes()].concat();
    for cut in cuts() {
        let (requests, stand, fault) = seen(&stream, cut);
        let plain = text.trim_start_matches("\r\n").as_bytes();
        assert_eq!(requests, [plain, behind.as_bytes()], "{cut:?}");
        assert_eq!((stand, fault), (ConnectionStatus::Open, None), "{cut:?}");
    }
}

/// Guards against heads without end, and against a limit that is one byte off.
#[test]
fn heads_are_as_long_as_allowed_and_no_longer() {
    let head = |bytes: usize| {
        let plain = "GET /a HTTP/1.1\r\nHost: a\r\nX: \r\n\r\n";
        plain.replace("X: ", &format!("X: {}", "y".repeat(bytes - plain.len())))
    };
    for cut in cuts() {
        assert_eq!(seen(head(1000).as_bytes(), cut).1, ConnectionStatus::Open);
        assert_eq!(
            seen(head(1001).as_bytes(), cut).1,
            ConnectionStatus::Rejected(FramingError::TooLarge)
        );
        let many = format!("GET /a HTTP/1.1\r\nHost: a\r\n{}", "X:\r\n".repeat(100));
        assert_eq!(
            seen(many.as_bytes(), cut).1,
            ConnectionStatus::Rejected(FramingError::TooLarge)
        );
    }
}

/// Guards against taking requests behind the last one of a connection.
#[rstest]
#[case("GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")]
#[case("GET /a HTTP/1.0\r\nHost: a\r\n\r\n")]
fn behind_the_last_request_nothing_is_read(#[case] text: &str) {
    let stream = format!("{text}GET /b HTTP/1.1\r\nHost: a\r\n\r\n\n");
    for cut in cuts() {
        let (requests, stand, _) = seen(stream.as_bytes(), cut);
        assert_eq!(
            (requests, stand),
            (vec![text.as_bytes().to_vec()], ConnectionStatus::Finished),
            "{cut:?}"
        );
    }
}

/// A sound request, by chance.
fn sound(dice: &mut Dice) -> Vec<u8> {
    let method = ["GET", "POST", "PUT", "M-SEARCH"].choose(dice).unwrap();
    let mut head = format!(
        "{method} /{}?q HTTP/1.1\r\nHost: a.example\r\n",
        dice.gen::<u16>()
    );
    for i in 0..dice.gen_range(0..4) {
        head += &format!(
            "X-{i}:{}v{}\r\n",
            [" ", "", " \t"].choose(dice).unwrap(),
            dice.gen::<u16>()
        );
    }
    let body: Vec<u8> = (0..dice.gen_range(0..200))
        .map(|_| *b"\r\n0a:G ".choose(dice).unwrap())
        .collect();
    match dice.gen_range(0..3) {
        0 => (head + "\r\n").into(),
        1 => [
            format!("{head}Content-Length: {}\r\n\r\n", body.len()).into_bytes(),
            body,
        ]
        .concat(),
        _ => {
            let mut bytes = (head + "Transfer-Encoding: chunked\r\n\r\n").into_bytes();
            let mut rest = body.as_slice();
            while !rest.is_empty() {
                let (some, more) = rest.split_at(dice.gen_range(1..=rest.len()));
                let extension = ["", ";a", ";a=b;c=\"d;\"", " ; e"].choose(dice).unwrap();
                bytes.extend(format!("{:x}{extension}\r\n", some.len()).bytes());
                bytes.extend([some, b"\r\n"].concat());
                rest = more;
            }
            bytes.extend(
                ["0\r\n\r\n", "000;x\r\nT: u\r\n\r\n"]
                    .choose(dice)
                    .unwrap()
                    .bytes(),
            );
            bytes
        }
    }
}

/// Guards against boundaries that move with the pieces a stream comes in.
#[test]
fn pipelines_come_out_as_they_were_put_in() {
    for seed in 0..300 {
        let mut dice = Dice::seed_from_u64(seed);
        let requests: Vec<Vec<u8>> = (0..dice.gen_range(1..7))
            .map(|_| sound(&mut dice))
            .collect();
        let stream = requests.concat();
        for cut in [Cut::Whole, Cut::Bytes, Cut::Dice(seed)] {
            assert_eq!(
                seen(&stream, cut),
                (requests.clone(), ConnectionStatus::Open, None),
                "seed {seed}, {cut:?}"
            );
        }
    }
}

/// Guards against panics, and against any request let through that a plainer reading frames otherwise: streams
/// spoilt at a few places.
#[test]
fn spoilt_streams_never_frame_otherwise_than_a_plain_reading() {
    let mut passed = 0;
    for seed in 0..4000 {
        let mut dice = Dice::seed_from_u64(seed);
        let mut stream: Vec<u8> = (0..3).flat_map(|_| sound(&mut dice)).collect();
        for _ in 0..dice.gen_range(1..4) {
            let at = dice.gen_range(0..stream.len());
            match dice.gen_range(0..4) {
                0 => stream[at] = *b"\r\n\0 :;0f,\xff".choose(&mut dice).unwrap(),
                1 => drop(stream.remove(at)),
                2 => stream.insert(at, *b"\r\n :0".choose(&mut dice).unwrap()),
                _ => {
                    let piece = stream[at..(at + 20).min(stream.len())].to_vec();
                    let to = dice.gen_range(0..stream.len());
                    stream.splice(to..to, piece);
                }
            }
        }
        // Where the machine finds the ends of requests.
        let (mut requests, mut at, mut ends) = (RequestParser::default(), 0, Vec::new());
        loop {
            match requests.next(&stream[at..], LIMITS.head_bytes) {
                ParseStep::NeedMore | ParseStep::Invalid(_) => break,
                ParseStep::BlankLines(len) => at += len,
                ParseStep::Head(head) => {
                    at += head.len;
                    ends.extend(head.body.is_none().then_some(at));
                }
                ParseStep::Body { len, is_end } => {
                    at += len;
                    ends.extend(is_end.then_some(at));
                }
            }
        }
        let (plain, _) = reference_ends(&stream);
        assert!(
            plain.starts_with(&ends),
            "seed {seed}: {ends:?}, read plainly {plain:?}"
        );
        passed += ends.len();
        // And cut into pieces it reads the same, but for how much is seen of a body that is spoilt.
        let whole = |cut| {
            let (mut requests, stand, fault) = seen(&stream, cut);
            requests.truncate(requests.len() - usize::from(fault.is_some()));
            let wrong = if let ConnectionStatus::Rejected(wrong) = stand {
                Some(wrong)
            } else {
                fault
            };
            (requests, wrong)
        };
        assert_eq!(whole(Cut::Whole), whole(Cut::Dice(seed)), "seed {seed}");
    }
    assert!(
        passed > 4000,
        "most streams begin with a request that is sound: {passed}"
    );
}

fn connection(texts: &[&str]) -> RequestFraming {
    let mut framing = RequestFraming::new(0);
    texts
        .iter()
        .for_each(|text| framing.feed(0, &LIMITS, text.as_bytes()));
    let shown = framing.visible().len();
    framing.consume(0, shown);
    framing
}

/// Guards against connections ended under a request, and against heads, bodies and idle clients that take for ever.
#[test]
fn time_runs_out_for_what_is_waited_for_only() {
    let plain = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n";
    let mut idle = connection(&["\r\n"]);
    idle.on_tick(14_999, &LIMITS);
    assert_eq!(idle.status(), ConnectionStatus::Open);
    idle.on_tick(15_000, &LIMITS);
    assert_eq!(idle.status(), ConnectionStatus::IdleTimeout);

    let mut busy = connection(&[plain]);
    assert_eq!(busy.next_timeout(&LIMITS), u64::MAX);
    busy.on_answered();
    busy.advance(20_000, &LIMITS);
    assert_eq!(busy.next_timeout(&LIMITS), 35_000);

    let mut slow = connection(&[plain, "GE"]);
    slow.feed(2_000, &LIMITS, b"T /");
    slow.on_tick(3_000, &LIMITS);
    assert_eq!(slow.status(), ConnectionStatus::Open, "one is in work");
    slow.on_answered();
    slow.advance(4_000, &LIMITS);
    assert_eq!(
        slow.status(),
        ConnectionStatus::Rejected(FramingError::HeadTimeout)
    );
    assert_eq!(FramingError::HeadTimeout.status(), 408);

    let mut body = connection(&["PUT /a HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\n"]);
    body.feed(10_000, &LIMITS, b"abc");
    assert_eq!(
        body.next_timeout(&LIMITS),
        u64::MAX,
        "the server is to take what has come"
    );
    body.consume(11_000, 3);
    body.on_tick(25_999, &LIMITS);
    assert_eq!(body.body_error(), None);
    body.on_tick(26_000, &LIMITS);
    assert_eq!(body.body_error(), Some(FramingError::BodyTimeout));
}

/// Guards against unbounded memory, and against blaming a client for what was not read: behind sixteen requests and
/// a full buffer the client is held up, and a head cut in two there is not late.
#[test]
fn what_is_read_ahead_is_bounded() {
    let plain = format!(
        "GET /a HTTP/1.1\r\nHost: a\r\nX: {}\r\n\r\n",
        "y".repeat(900)
    );
    let mut framing = RequestFraming::new(0);
    let (mut sent, mut rest) = (0, Vec::new());
    while framing.capacity(&LIMITS) > 0 {
        if rest.is_empty() {
            rest = plain.clone().into_bytes();
            sent += 1;
        }
        let some = rest.len().min(framing.capacity(&LIMITS));
        framing.feed(0, &LIMITS, &rest.drain(..some).collect::<Vec<u8>>());
    }
    assert!(sent < 80);
    framing.on_tick(1_000_000, &LIMITS);
    let mut served = 0;
    while framing.current().is_some() {
        let shown = framing.visible().len();
        framing.consume(0, shown);
        served += 1;
        framing.on_answered();
        framing.advance(1_000_000, &LIMITS);
    }
    assert_eq!(
        (served, framing.status()),
        (sent - 1, ConnectionStatus::Open)
    );
    assert_eq!(
        framing.next_timeout(&LIMITS),
        1_003_000,
        "the head begins to count where it is waited for"
    );
}

/// Guards against starting what must wait: early are only whole requests without a body behind safe ones, at most
/// sixteen, each once, and answers stay in order.
#[test]
fn early_are_those_behind_safe_ones_only() {
    let plain = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n";
    let post = "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx";
    let mut framing = connection(&[&plain.repeat(30)]);
    assert_eq!(
        framing.next_early(),
        None,
        "the one in work is not known to be safe"
    );
    framing.mark_idempotent(1);
    let mut started = Vec::new();
    while let Some((number, head)) = framing.next_early().map(|e| (e.number, e.head.to_vec())) {
        assert_eq!(head, plain.as_bytes());
        started.push(number);
        framing.mark_idempotent(number);
    }
    assert_eq!(started, (2..=17).collect::<Vec<u64>>());
    framing.on_answered();
    framing.advance(0, &LIMITS);
    assert_eq!(framing.current().map(|w| w.0), Some(2));
    assert_eq!(framing.next_early().map(|e| e.number), Some(18));

    let mut mixed = super::tests::connection(&[plain, plain, post, plain]);
    mixed.mark_idempotent(1);
    assert_eq!(mixed.next_early().map(|e| e.number), Some(2));
    assert_eq!(mixed.next_early(), None, "number 2 was not started");
    mixed.mark_idempotent(2);
    assert_eq!(mixed.next_early(), None, "number 3 has a body");
}

/// What a reader gets of the bytes that come on a connection to an endpoint, for a request with the id `t1`.
fn heard(stream: &[u8], cut: Cut, head: bool) -> (String, Option<ResponseFault>, bool) {
    let (mut framing, mut shown) = (ResponseFraming::default(), Vec::new());
    assert!(framing.announce(b"t1", head));
    framing.on_written();
    for piece in pieces(stream, cut) {
        framing.feed(piece);
        let some = framing.visible().to_vec();
        framing.consume(some.len());
        shown.extend(some);
    }
    (
        String::from_utf8(shown).unwrap(),
        framing.fault(),
        framing.is_reusable(),
    )
}

const OK: &str = "HTTP/1.1 200 OK\r\nTry-Id: t1\r\nContent-Length: 3\r\n\r\nabc";
const LATE: &str = "HTTP/1.1 200 OK\r\ntry-id: t0\r\nContent-Length: 4\r\n\r\nlate";
const CHUNKS: &str =
    "HTTP/1.1 500 \r\nTry-Id: t1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
const LATE_CHUNKS: &str =
    "HTTP/1.1 200\r\nTry-Id: t0\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";

/// Guards against answers of other requests (MIXED): late, doubled, surplus and spoilt ones never reach the reader,
/// the one that is due does, and its connection is used again only if nothing else came.
#[rstest]
#[case::plain(OK.into(), OK, None, true)]
#[case::chunks(CHUNKS.into(), CHUNKS, None, true)]
#[case::interim(format!("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nX: y\r\n\r\n{OK}"), OK, None, true)]
#[case::late(format!("{LATE}{OK}"), OK, None, true)]
#[case::late_chunks(format!("{LATE_CHUNKS}{LATE}{OK}"), OK, None, true)]
#[case::late_only(LATE.into(), "", None, false)]
#[case::late_many(LATE.repeat(5) + OK, "", Some(ResponseFault::TooManyStale), false)]
#[case::doubled(format!("{OK}{OK}"), OK, Some(ResponseFault::Unsolicited), false)]
#[case::surplus(format!("{CHUNKS}{LATE}"), CHUNKS, Some(ResponseFault::Unsolicited), false)]
#[case::surplus_bytes(format!("{OK}\r\n"), OK, Some(ResponseFault::Unsolicited), false)]
#[case::garbage("\u{1}\u{2}HTTP/1.1 200 OK\r\n\r\n".into(), "", Some(ResponseFault::Unreadable(FramingError::StartLine)), false)]
#[case::cut(OK[..OK.len() - 1].into(), &OK[..OK.len() - 1], None, false)]
#[case::cut_head(OK[..30].into(), "", None, false)]
#[case::nameless("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".into(), "", Some(ResponseFault::MissingId), false)]
#[case::two_names("HTTP/1.1 200 OK\r\nTry-Id: t1\r\nTry-Id: t0\r\n\r\n".into(), "", Some(ResponseFault::Unreadable(FramingError::HeaderLine)), false)]
#[case::endless("HTTP/1.1 200 OK\r\nTry-Id: t1\r\n\r\nabc".into(), "", Some(ResponseFault::Unreadable(FramingError::UnknownEnd)), false)]
#[case::two_lengths("HTTP/1.1 200 OK\r\nTry-Id: t1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n".into(), "", Some(ResponseFault::Unreadable(FramingError::ContentLength)), false)]
#[case::bare_feeds("HTTP/1.1 200 OK\nTry-Id: t1\n\n".into(), "", Some(ResponseFault::Unreadable(FramingError::BareLineFeed)), false)]
#[case::no_status("HTTP/1.1 2x0 OK\r\nTry-Id: t1\r\n\r\n".into(), "", Some(ResponseFault::Unreadable(FramingError::StartLine)), false)]
#[case::upgrade("HTTP/1.1 101 Switching\r\nTry-Id: t1\r\n\r\n".into(), "", Some(ResponseFault::Unreadable(FramingError::Unsolicited)), false)]
fn of_an_endpoints_bytes_only_the_answer_that_is_due_is_seen(
    #[case] stream: String,
    #[case] answer: &str,
    #[case] fault: Option<ResponseFault>,
    #[case] usable: bool,
) {
    for cut in cuts() {
        assert_eq!(
            heard(stream.as_bytes(), cut, false),
            (answer.to_owned(), fault, usable),
            "{cut:?}"
        );
    }
}

/// Guards against an answer's body where there is none, and against dropping what can't be told to end.
#[test]
fn answers_without_a_body() {
    let head = OK.strip_suffix("abc").unwrap();
    let (empty, unchanged) = (head.replace("200", "204"), head.replace("200", "304"));
    for cut in cuts() {
        assert_eq!(heard(head.as_bytes(), cut, true), (head.into(), None, true));
        assert_eq!(
            heard(empty.as_bytes(), cut, false),
            (empty.clone(), None, true)
        );
        assert_eq!(
            heard(unchanged.as_bytes(), cut, false),
            (unchanged.clone(), None, true)
        );
        assert_eq!(
            heard(LATE.as_bytes(), cut, true).1,
            Some(ResponseFault::WrongId)
        );
    }
}

/// Guards against bytes that come before a request is written: they can't be its answer, whatever they say.
#[test]
fn what_comes_unasked_ends_the_connection() {
    let mut framing = ResponseFraming::default();
    assert!(framing.announce(b"t1", false));
    framing.feed(OK.as_bytes());
    assert_eq!(
        (framing.visible(), framing.fault()),
        (&b""[..], Some(ResponseFault::Unsolicited))
    );
    assert!(!framing.announce(b"t2", false));
}

/// Guards against a request sent again that was written after all, and against one given up that may have run.
#[test]
fn what_is_called_off_was_never_written_and_never_will_be() {
    let mut framing = ResponseFraming::default();
    assert!(framing.announce(b"t1", false) && framing.cancel());
    assert_eq!(
        (
            framing.fault(),
            framing.is_reusable(),
            framing.announce(b"t2", false)
        ),
        (Some(ResponseFault::Cancelled), false, false)
    );
    let mut written = ResponseFraming::default();
    assert!(written.announce(b"t1", false));
    written.on_written();
    assert!(!written.cancel() && written.fault().is_none());
}

/// Guards against a late answer without an id taken for the one that is due: such a connection is used once.
#[test]
fn a_connection_used_without_an_id_is_not_used_again() {
    let mut framing = ResponseFraming::default();
    assert!(framing.announce(b"", false));
    framing.on_written();
    framing.feed(b"HTTP/1.1 400 No\r\nContent-Length: 0\r\n\r\n");
    assert!(!framing.visible().is_empty() && framing.fault().is_none() && !framing.is_reusable());
}

/// Guards against a connection that breaks off, its answer with it, because a body goes on behind the answer.
#[test]
fn what_comes_behind_an_early_answer_is_passed_over() {
    let mut framing =
        connection(&["POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 9000\r\n\r\nabc"]);
    framing.on_answered();
    framing.advance(0, &LIMITS);
    framing.feed(0, &LIMITS, &[b'x'; 500]);
    assert_eq!(
        (framing.status(), framing.visible(), framing.current()),
        (ConnectionStatus::Finished, &b""[..], None)
    );
}

/// Guards against ending a connection whose client goes by the bounds that held when it came to rest.
#[test]
fn the_longest_rest_holds() {
    let mut framing = connection(&[]);
    framing.on_tick(1_000, &LIMITS);
    let shorter = RequestLimits {
        keep_alive_timeout: 4_000,
        ..LIMITS
    };
    framing.on_tick(14_999, &shorter);
    assert_eq!(framing.status(), ConnectionStatus::Open);
    framing.on_tick(15_000, &shorter);
    assert_eq!(framing.status(), ConnectionStatus::IdleTimeout);
}
