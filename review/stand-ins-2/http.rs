//! As much of HTTP/1.1 as the stand-ins speak: heads, and bodies with a length.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or a response that was read.
pub struct Message {
    pub start_line: String,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        let word = self.start_line.split(' ').nth(1);
        word.and_then(|word| word.parse().ok()).unwrap_or(0)
    }
}

/// Reads a message; bytes behind it stay in `held`. None at the end of the stream.
pub fn read_message(stream: &mut impl Read, held: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let head_end = loop {
        if let Some(at) = held.windows(4).position(|window| window == b"\r\n\r\n") {
            break at + 4;
        }
        if read_more(stream, held)? == 0 {
            return match held.is_empty() {
                true => Ok(None),
                false => Err(io::ErrorKind::UnexpectedEof.into()),
            };
        }
    };
    let head = String::from_utf8_lossy(&held[..head_end]).into_owned();
    let mut lines = head.split("\r\n");
    let start_line = lines.next().unwrap_or("").to_owned();
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_owned(), value.trim().to_owned()))
        .collect();
    let mut message = Message {
        start_line,
        headers,
        body: Vec::new(),
    };
    let length = message.header("content-length").map(str::parse);
    let length: usize = match length {
        Some(length) => length.map_err(|_| io::ErrorKind::InvalidData)?,
        None => 0,
    };
    while held.len() < head_end + length {
        if read_more(stream, held)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    message.body = held[head_end..head_end + length].to_vec();
    held.drain(..head_end + length);
    Ok(Some(message))
}

fn read_more(stream: &mut impl Read, held: &mut Vec<u8>) -> io::Result<usize> {
    let mut bytes = [0; 16 << 10];
    let count = stream.read(&mut bytes)?;
    held.extend_from_slice(&bytes[..count]);
    Ok(count)
}

/// Makes one call on a connection of its own, as operators and the platform do.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    within: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&to, within)?;
    stream.set_read_timeout(Some(within))?;
    stream.set_write_timeout(Some(within))?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes())?;
    read_message(&mut stream, &mut Vec::new())?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
