//! Where an answer ends. The client library hands on an interim answer as if it were the final one, drops what
//! it has read beyond an answer, and keeps the connection either way: the next hit would be given bytes that
//! were not made for it. So an answer is measured here before the library sees any of it.

use httparse::{parse_chunk_size, ParserConfig, Response, Status, EMPTY_HEADER};

/// The longest head of an answer, with room to spare for what proxies add.
const HEAD_MOST: usize = 16 << 10;
/// The most headers of an answer; more than the client library would take.
const HEADERS_MOST: usize = 96;
/// The longest line around a chunk: its size and whatever stands behind it, or a trailer.
const LINE_MOST: usize = 256;

/// Why bytes are no answer that can be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spoilt {
    /// They can't be read, or say two things of their length.
    Unreadable,
    /// Larger than what is asked for may be.
    TooLarge,
}

/// How far an answer has come.
#[derive(Debug, PartialEq, Eq)]
pub enum Come {
    /// More has to come.
    Part,
    /// An interim answer of this many bytes stands in front.
    Interim(usize),
    /// It is whole, with this many bytes.
    Whole(usize),
}

/// Measures the answer at the front of these bytes; its body may hold `most`.
pub fn measure(bytes: &[u8], most: usize) -> Result<Come, Spoilt> {
    let mut headers = [EMPTY_HEADER; HEADERS_MOST];
    let mut answer = Response::new(&mut headers);
    let head = match ParserConfig::default().parse_response(&mut answer, bytes) {
        Ok(Status::Complete(head)) => head,
        Ok(Status::Partial) if bytes.len() <= HEAD_MOST => return Ok(Come::Part),
        Ok(Status::Partial) => return Err(Spoilt::TooLarge),
        Err(_) => return Err(Spoilt::Unreadable),
    };
    let code = answer.code.unwrap_or(0);
    if (100..200).contains(&code) {
        return if code == 101 {
            Err(Spoilt::Unreadable)
        } else {
            Ok(Come::Interim(head))
        };
    }
    let values = |name: &'static str| {
        answer
            .headers
            .iter()
            .filter(move |h| h.name.eq_ignore_ascii_case(name))
            .map(|h| h.value.trim_ascii())
    };
    let (mut lengths, mut codings) = (values("content-length"), values("transfer-encoding"));
    match (
        lengths.next(),
        lengths.next(),
        codings.next(),
        codings.next(),
    ) {
        (Some(length), None, None, None) if length.iter().all(u8::is_ascii_digit) => {
            let length = std::str::from_utf8(length)
                .ok()
                .and_then(|l| l.parse::<u64>().ok());
            let length = length.ok_or(Spoilt::Unreadable)?;
            if length > most as u64 {
                return Err(Spoilt::TooLarge);
            }
            let end = head + length as usize;
            Ok(if bytes.len() < end {
                Come::Part
            } else {
                Come::Whole(end)
            })
        }
        (None, None, Some(coding), None)
            if coding.eq_ignore_ascii_case(b"chunked") && answer.version == Some(1) =>
        {
            chunks(bytes, head, most)
        }
        (None, None, None, None) if matches!(code, 204 | 304) => Ok(Come::Whole(head)),
        // Without a length only the connection's end would tell, which a broken one has as well.
        _ => Err(Spoilt::Unreadable),
    }
}

/// Measures a body in chunks that begins at `at`.
fn chunks(bytes: &[u8], mut at: usize, most: usize) -> Result<Come, Spoilt> {
    let mut held = 0;
    loop {
        let rest = &bytes[at.min(bytes.len())..];
        let (line, size) = match parse_chunk_size(rest) {
            Ok(Status::Complete(found)) => found,
            Ok(Status::Partial) if rest.len() <= LINE_MOST => return Ok(Come::Part),
            _ => return Err(Spoilt::Unreadable),
        };
        if size > (most - held) as u64 {
            return Err(Spoilt::TooLarge);
        }
        at += line;
        if size == 0 {
            return trailers(bytes, at);
        }
        held += size as usize;
        at += size as usize;
        match bytes.get(at..at + 2) {
            Some(b"\r\n") => at += 2,
            Some(_) => return Err(Spoilt::Unreadable),
            None => return Ok(Come::Part),
        }
    }
}

/// Passes over the trailers behind the last chunk, to the empty line that ends them.
fn trailers(bytes: &[u8], mut at: usize) -> Result<Come, Spoilt> {
    loop {
        let rest = &bytes[at.min(bytes.len())..];
        match rest.windows(2).position(|two| two == b"\r\n") {
            Some(0) => return Ok(Come::Whole(at + 2)),
            Some(length) if length <= LINE_MOST => at += length + 2,
            None if rest.len() <= LINE_MOST => return Ok(Come::Part),
            _ => return Err(Spoilt::Unreadable),
        }
    }
}

#[cfg(test)]
mod tests;
