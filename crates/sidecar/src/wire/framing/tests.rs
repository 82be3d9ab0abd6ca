use super::*;

const MOST: usize = 100;

#[test]
fn an_answer_is_measured_to_its_last_byte_and_not_before() {
    for text in [
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
        "HTTP/1.1 500 No\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 204 None\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2;x=y\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\nx: y\r\n\r\n",
    ] {
        for end in 0..text.len() {
            assert_eq!(
                measure(&text.as_bytes()[..end], MOST),
                Ok(Come::Part),
                "{text}: {end}"
            );
        }
        let more = format!("{text}HTTP/1.1 200 OK\r\n");
        assert_eq!(
            measure(text.as_bytes(), MOST),
            Ok(Come::Whole(text.len())),
            "{text}"
        );
        assert_eq!(
            measure(more.as_bytes(), MOST),
            Ok(Come::Whole(text.len())),
            "{more}"
        );
    }
    let interim = "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n";
    assert_eq!(
        measure(interim.as_bytes(), MOST),
        Ok(Come::Interim(interim.len()))
    );
}

#[test]
fn what_cannot_be_used_is_told_as_soon_as_it_shows() {
    let answer = |headers: &str| format!("HTTP/1.1 200 OK\r\n{headers}\r\n\r\n");
    for (text, why) in [
        ("what is this\r\n".to_owned(), Spoilt::Unreadable),
        ("\u{1}\u{2}\u{3}".to_owned(), Spoilt::Unreadable),
        (
            "HTTP/1.1 101 Switch\r\nupgrade: x\r\n\r\n".to_owned(),
            Spoilt::Unreadable,
        ),
        (answer("x: y"), Spoilt::Unreadable),
        (answer("content-length: -4"), Spoilt::Unreadable),
        (answer("content-length: +4"), Spoilt::Unreadable),
        (answer("content-length: 4, 4"), Spoilt::Unreadable),
        (
            answer("content-length: 4\r\ncontent-length: 4"),
            Spoilt::Unreadable,
        ),
        (
            answer("content-length: 4\r\ntransfer-encoding: chunked"),
            Spoilt::Unreadable,
        ),
        (answer("transfer-encoding: gzip"), Spoilt::Unreadable),
        (answer("content-length: 3221225472"), Spoilt::TooLarge),
        (
            answer("transfer-encoding: chunked") + "ffff\r\n",
            Spoilt::TooLarge,
        ),
        (
            answer("transfer-encoding: chunked") + "ffffffffffffffff\r\n",
            Spoilt::TooLarge,
        ),
        (
            answer("transfer-encoding: chunked") + "odd\r\n",
            Spoilt::Unreadable,
        ),
        (
            answer("transfer-encoding: chunked") + "1\r\nabc",
            Spoilt::Unreadable,
        ),
        (
            format!("HTTP/1.1 200 OK\r\nx: {}", "a".repeat(HEAD_MOST)),
            Spoilt::TooLarge,
        ),
    ] {
        assert_eq!(measure(text.as_bytes(), MOST), Err(why), "{text:.60}");
    }
}
