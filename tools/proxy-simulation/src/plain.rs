//! A plain reading of HTTP/1.1, with nothing in common with the gateway's own.

use crate::stream::End;
use tokio::io::AsyncReadExt;

/// A message: its first line, its headers with small names, and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// It lacks the end of its body.
    pub cut: bool,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields
            .iter()
            .find(|(n, _)| n == name)
            .map(|(_, value)| value.as_str())
    }

    /// The status of an answer.
    pub fn status(&self) -> u16 {
        self.first
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0)
    }

    pub fn closes(&self) -> bool {
        self.field("connection")
            .is_some_and(|c| c.eq_ignore_ascii_case("close"))
    }
}

/// A head, if `bytes` hold all of it, and its length.
pub fn head(bytes: &[u8]) -> Option<(Message, usize)> {
    let len = bytes.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
    let text = String::from_utf8_lossy(&bytes[..len]);
    let mut lines = text.split("\r\n");
    let first = lines.next().unwrap_or("").to_owned();
    let fields = lines.filter_map(|line| line.split_once(':'));
    let fields = fields
        .map(|(name, value)| (name.to_lowercase(), value.trim().to_owned()))
        .collect();
    Some((
        Message {
            first,
            fields,
            ..Message::default()
        },
        len,
    ))
}

/// What is read off a connection so far.
#[derive(Default)]
pub struct Reader {
    pub held: Vec<u8>,
}

/// Why there is no message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoMore {
    /// The connection ended in order, before a byte of it.
    End,
    /// It ended, or was reset, in the middle; or was reset.
    Broken,
}

impl Reader {
    async fn more(&mut self, end: &mut End) -> Result<(), NoMore> {
        match end.read_buf(&mut self.held).await {
            Ok(0) if self.held.is_empty() => Err(NoMore::End),
            Ok(0) | Err(_) => Err(NoMore::Broken),
            Ok(_) => Ok(()),
        }
    }

    /// The head of the next message.
    pub async fn head(&mut self, end: &mut End) -> Result<Message, NoMore> {
        loop {
            if let Some((message, len)) = head(&self.held) {
                self.held.drain(..len);
                return Ok(message);
            }
            self.more(end).await?;
        }
    }

    /// Its body, by its length or in chunks.
    pub async fn body(&mut self, end: &mut End, message: &mut Message) -> Result<(), NoMore> {
        let broken = |_| NoMore::Broken;
        if message.field("transfer-encoding").is_some() {
            loop {
                let Some(at) = self.held.windows(2).position(|w| w == b"\r\n") else {
                    self.more(end).await.map_err(broken)?;
                    continue;
                };
                let size = String::from_utf8_lossy(&self.held[..at]).into_owned();
                let size = usize::from_str_radix(size.trim(), 16).map_err(|_| NoMore::Broken)?;
                while self.held.len() < at + 2 + size + 2 {
                    self.more(end).await.map_err(broken)?;
                }
                message
                    .body
                    .extend_from_slice(&self.held[at + 2..at + 2 + size]);
                self.held.drain(..at + 2 + size + 2);
                if size == 0 {
                    return Ok(());
                }
            }
        }
        let length = message
            .field("content-length")
            .and_then(|l| l.parse().ok())
            .unwrap_or(0);
        while self.held.len() < length {
            if let Err(no_more) = self.more(end).await.map_err(broken) {
                message.cut = true;
                return Err(no_more);
            }
        }
        message.body = self.held.drain(..length).collect();
        Ok(())
    }
}
