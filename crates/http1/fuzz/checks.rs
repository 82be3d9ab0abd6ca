//! What holds for any bytes, for the fuzz targets and for the test that replays their corpus. The first byte of an input says
//! how the others are cut into the pieces that come.

#![allow(dead_code)] // each target uses one of them

use magpieline_http1::framing::request_framing::{
    ConnectionStatus, ParseStep, RequestFraming, RequestLimits, RequestParser,
};
use magpieline_http1::framing::response_framing::{ResponseFault, ResponseFraming};
use magpieline_http1::framing::FramingError;

const LIMITS: RequestLimits = RequestLimits {
    head_bytes: 600,
    head_timeout: 3_000,
    body_idle_timeout: 15_000,
    keep_alive_timeout: 15_000,
};

/// Cuts bytes into pieces: 0 not at all, 1 into single ones.
fn pieces(cut: u8, mut bytes: &[u8]) -> Vec<&[u8]> {
    let (mut pieces, mut state) = (Vec::new(), u64::from(cut) + 1);
    while !bytes.is_empty() {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        let len = match cut {
            0 => bytes.len(),
            1 => 1,
            _ => 1 + (state >> 33) as usize % 40,
        };
        let (piece, rest) = bytes.split_at(len.min(bytes.len()));
        pieces.push(piece);
        bytes = rest;
    }
    pieces
}

/// Where whole requests end in what a server was shown of one.
fn whole(bytes: &[u8]) -> bool {
    let (mut requests, mut at) = (RequestParser::default(), 0);
    loop {
        match requests.next(&bytes[at..], usize::MAX) {
            ParseStep::NeedMore | ParseStep::Invalid(_) => return false,
            ParseStep::BlankLines(len) => at += len,
            ParseStep::Head(head) => {
                at += head.len;
                if head.body.is_none() {
                    assert_eq!(at, bytes.len(), "nothing is shown behind a request");
                    return true;
                }
            }
            ParseStep::Body { len, is_end } => {
                at += len;
                if is_end {
                    assert_eq!(at, bytes.len(), "nothing is shown behind a request");
                    return true;
                }
            }
        }
    }
}

/// What a server is shown of a stream, request by request, and what is wrong with the stream.
fn shown(cut: u8, stream: &[u8]) -> (Vec<Vec<u8>>, Option<FramingError>) {
    let (mut framing, mut requests) = (RequestFraming::new(0), Vec::<(u64, Vec<u8>)>::new());
    for mut piece in pieces(cut, stream) {
        while !piece.is_empty() {
            let room = framing.capacity(&LIMITS).min(piece.len());
            if room == 0 {
                break; // its client is held up
            }
            framing.feed(0, &LIMITS, &piece[..room]);
            piece = &piece[room..];
            while let Some((number, _)) = framing.current() {
                let bytes = framing.visible().to_vec();
                framing.consume(0, bytes.len());
                match requests.last_mut().filter(|(n, _)| *n == number) {
                    Some((_, all)) => all.extend(bytes),
                    None => {
                        assert!(
                            requests.last().is_none_or(|(n, _)| *n + 1 == number),
                            "in their order"
                        );
                        requests.push((number, bytes));
                    }
                }
                if !whole(&requests[requests.len() - 1].1) {
                    break;
                }
                framing.on_answered();
                framing.advance(0, &LIMITS);
            }
        }
    }
    let wrong = if let ConnectionStatus::Rejected(wrong) = framing.status() {
        Some(wrong)
    } else {
        framing.body_error()
    };
    if framing.body_error().is_some() {
        requests.pop(); // how much of it was shown depends on the pieces
    }
    (
        requests.into_iter().map(|(_, bytes)| bytes).collect(),
        wrong,
    )
}

/// A client's stream: each request is shown whole, by itself and in its order; nothing of one that is unsound; the same
/// however the stream is cut.
pub fn request_framing(input: &[u8]) {
    let Some((cut, stream)) = input.split_first() else {
        return;
    };
    let (requests, wrong) = shown(0, stream);
    let unfinished = requests.last().is_some_and(|last| !whole(last));
    for request in &requests[..requests.len() - usize::from(unfinished)] {
        assert!(whole(request), "only the last may be unfinished");
    }
    for cut in [1, *cut] {
        assert_eq!(
            (&requests, wrong),
            (&shown(cut, stream).0, shown(cut, stream).1)
        );
    }
}

/// What is shown of the bytes that come for a request, and how the connection stands.
fn heard(cut: u8, stream: &[u8], head: bool) -> (Vec<u8>, Option<ResponseFault>, bool) {
    let (mut framing, mut shown) = (ResponseFraming::default(), Vec::new());
    assert!(framing.announce(b"t1", head));
    framing.on_written();
    assert!(!framing.cancel(), "it is written");
    for piece in pieces(cut, stream) {
        framing.feed(piece);
        shown.extend_from_slice(framing.visible());
        let some = framing.visible().len();
        framing.consume(some);
        assert!(framing.fault().is_none() || !framing.is_reusable());
    }
    (shown, framing.fault(), framing.is_reusable())
}

/// An endpoint's stream: nothing but the one answer with the id that is due is shown; the connection is usable only if
/// nothing came behind it; the same however the stream is cut. Nothing at all is shown of what was not asked for, and
/// nothing is written once it was called off.
pub fn response_framing(input: &[u8]) {
    let Some((cut, stream)) = input.split_first() else {
        return;
    };
    for head in [false, true] {
        let (shown, fault, usable) = heard(0, stream, head);
        for cut in [1, *cut] {
            let (other, wrong, useful) = heard(cut, stream, head);
            assert_eq!((fault, usable), (wrong, useful));
            // Of a body that can't be read on, more or less is shown; it never becomes whole.
            let spoilt = matches!(fault, Some(ResponseFault::Unreadable(_)));
            assert!(
                shown == other
                    || (spoilt && (shown.starts_with(&other) || other.starts_with(&shown)))
            );
        }
        if !shown.is_empty() {
            let end = shown
                .windows(4)
                .position(|w| w == b"\r\n\r\n")
                .expect("a head is shown whole")
                + 4;
            let text = String::from_utf8_lossy(&shown[..end]).to_lowercase();
            let ids = text
                .split("\r\n")
                .filter_map(|line| line.strip_prefix("try-id:"));
            assert_eq!(ids.map(str::trim).collect::<Vec<_>>(), ["t1"]);
            assert!(
                text.starts_with("http/1.") && !text[9..].starts_with('1'),
                "no interim answer"
            );
        }
        assert!(!usable || !shown.is_empty(), "it owes an answer");
    }
    let mut quiet = ResponseFraming::default();
    assert!(quiet.announce(b"t1", false));
    quiet.feed(stream);
    assert!(quiet.visible().is_empty());
    assert!(quiet.cancel() && !quiet.is_reusable() && quiet.fault().is_some());
    assert!(!quiet.announce(b"t2", false));
}
