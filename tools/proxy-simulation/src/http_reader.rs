//! A plain reader of HTTP/1.1, with nothing in common with the gateway's own.

use tokio::io::{AsyncRead, AsyncReadExt};

/// A message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Its first line.
    pub start_line: String,
    /// Names in lower case, and values.
    headers: Vec<(String, String)>,
    /// Its body, once that is read.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let header = self.headers.iter().find(|(known, _)| known == name);
        header.map(|(_, value)| value.as_str())
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        let status = self.start_line.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Returns the length of the body as the head gives it; 0 if it gives none.
    pub fn content_length(&self) -> usize {
        let length = self.header("content-length");
        length.and_then(|length| length.parse().ok()).unwrap_or(0)
    }

    /// Whether it is the last on its connection.
    pub fn is_last(&self) -> bool {
        let connection = self.header("connection");
        connection.is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// Parses a head, if `bytes` hold all of it. Returns its length, too.
pub fn parse_head(bytes: &[u8]) -> Option<(Message, usize)> {
    let len = bytes.windows(4).position(|window| window == b"\r\n\r\n")? + 4;
    let text = String::from_utf8_lossy(&bytes[..len]);
    let mut lines = text.split("\r\n");
    let start_line = lines.next().unwrap_or("").to_owned();
    let headers = lines.filter_map(|line| line.split_once(':'));
    let headers = headers.map(|(name, value)| (name.to_lowercase(), value.trim().to_owned()));
    let message = Message {
        start_line,
        headers: headers.collect(),
        body: Vec::new(),
    };
    Some((message, len))
}

/// Reads messages off a connection.
#[derive(Default)]
pub struct Reader {
    buffer: Vec<u8>,
}

/// Why there is no message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// The connection ended in order, before a byte of it.
    End,
    /// It ended in the middle of a message, or was reset.
    ConnectionLost,
}

impl Reader {
    /// Reads some more bytes.
    ///
    /// # Errors
    ///
    /// If the connection has ended.
    pub async fn read_more(
        &mut self,
        stream: &mut (impl AsyncRead + Unpin),
    ) -> Result<(), ReadError> {
        match stream.read_buf(&mut self.buffer).await {
            Ok(0) if self.buffer.is_empty() => Err(ReadError::End),
            Ok(0) | Err(_) => Err(ReadError::ConnectionLost),
            Ok(_) => Ok(()),
        }
    }

    /// Reads the head of the next message.
    ///
    /// # Errors
    ///
    /// If the connection ends before.
    pub async fn read_head(
        &mut self,
        stream: &mut (impl AsyncRead + Unpin),
    ) -> Result<Message, ReadError> {
        loop {
            if let Some((message, len)) = parse_head(&self.buffer) {
                self.buffer.drain(..len);
                return Ok(message);
            }
            self.read_more(stream).await?;
        }
    }

    /// Reads the body of a message, by its length or in chunks.
    ///
    /// # Errors
    ///
    /// If the connection ends before, or a chunk has no length.
    pub async fn read_body(
        &mut self,
        stream: &mut (impl AsyncRead + Unpin),
        message: &mut Message,
    ) -> Result<(), ReadError> {
        let read = match message.header("transfer-encoding") {
            Some(_) => self.read_chunks(stream, message).await,
            None => self.read_length(stream, message).await,
        };
        read.map_err(|_| ReadError::ConnectionLost)
    }

    async fn read_length(
        &mut self,
        stream: &mut (impl AsyncRead + Unpin),
        message: &mut Message,
    ) -> Result<(), ReadError> {
        let length = message.content_length();
        while self.buffer.len() < length {
            self.read_more(stream).await?;
        }
        let rest = self.buffer.split_off(length);
        message.body = std::mem::replace(&mut self.buffer, rest);
        Ok(())
    }

    async fn read_chunks(
        &mut self,
        stream: &mut (impl AsyncRead + Unpin),
        message: &mut Message,
    ) -> Result<(), ReadError> {
        loop {
            let Some(line_len) = self.buffer.windows(2).position(|window| window == b"\r\n") else {
                self.read_more(stream).await?;
                continue;
            };
            let size = String::from_utf8_lossy(&self.buffer[..line_len]).into_owned();
            let size = usize::from_str_radix(size.trim(), 16);
            let size = size.map_err(|_| ReadError::ConnectionLost)?;
            let (begin, end) = (line_len + 2, line_len + 2 + size);
            while self.buffer.len() < end + 2 {
                self.read_more(stream).await?;
            }
            message.body.extend_from_slice(&self.buffer[begin..end]);
            self.buffer.drain(..end + 2);
            if size == 0 {
                return Ok(());
            }
        }
    }
}
