//! Why a message is refused, classes of bytes, and the lines that heads are made of.

/// Why a message is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FramingError {
    /// The first line is none that a request or a response begins with.
    StartLine,
    /// A line ends with a line feed alone.
    BareLineFeed,
    /// A header line without a colon, with a space before it or with an odd name, or one that goes on in the next.
    HeaderLine,
    /// Control characters in a value.
    ControlCharacter,
    /// No `Host`, more than one, or one that names no host or another one than the target.
    Host,
    /// Lengths that contradict each other or are no plain numbers, or a length beside a coding.
    ContentLength,
    /// A transfer coding other than `chunked`.
    TransferCoding,
    /// Chunks that are not framed as they must be.
    Chunk,
    /// A head or what goes with chunks takes more bytes or lines than are allowed.
    TooLarge,
    /// The head did not come in the time for it.
    HeadTimeout,
    /// The body stopped coming.
    BodyTimeout,
    /// A response whose end can't be told from a break.
    UnknownEnd,
    /// A response that nobody asked for, such as a change of protocol.
    Unsolicited,
}

impl FramingError {
    /// Returns the status that a client is answered with; nothing of its request has run.
    pub fn status(self) -> u16 {
        match self {
            FramingError::TooLarge => 431,
            FramingError::HeadTimeout | FramingError::BodyTimeout => 408,
            _ => 400,
        }
    }

    /// Returns the text that a client is answered with.
    pub fn text(self) -> &'static str {
        match self {
            FramingError::StartLine => "The request line is not METHOD TARGET HTTP/1.1.",
            FramingError::BareLineFeed => "A line ends without a carriage return.",
            FramingError::HeaderLine => "A header line is not NAME: VALUE.",
            FramingError::ControlCharacter => "A header holds control characters.",
            FramingError::Host => "Exactly one Host is expected, naming a host.",
            FramingError::ContentLength => {
                "Exactly one length is expected, a plain number, or chunks."
            }
            FramingError::TransferCoding => "The only transfer coding is chunked.",
            FramingError::Chunk => "The chunks are not framed as they should be.",
            FramingError::TooLarge => "The headers are too long.",
            FramingError::HeadTimeout => "The headers did not come in time.",
            FramingError::BodyTimeout => "The body did not come in time.",
            FramingError::UnknownEnd => "The end of the body can't be told.",
            FramingError::Unsolicited => "Nobody asked for it.",
        }
    }
}

const TOKEN: u8 = 1;
const VALUE: u8 = 2;
const TARGET: u8 = 4;
const HOST: u8 = 8;
const QUOTED: u8 = 16;

/// Which bytes may stand where (RFC 9110, 5.5 and 5.6; RFC 3986, 3.2.2).
static CLASS: [u8; 256] = {
    let mut class = [0; 256];
    let mut byte = 0;
    while byte < 256 {
        let b = byte as u8;
        if b.is_ascii_alphanumeric() {
            class[byte] |= TOKEN | HOST;
        }
        if b == b'\t' || (b >= b' ' && b != 0x7f) {
            class[byte] |= VALUE;
            // Between quotes neither a quote nor a backslash stands by itself.
            if b != b'"' && b != b'\\' {
                class[byte] |= QUOTED;
            }
        }
        // A fragment is never sent; whoever cuts it off sees another target than whoever does not.
        if b > b' ' && b != 0x7f && b != b'#' {
            class[byte] |= TARGET;
        }
        byte += 1;
    }
    let (mut i, tokens) = (0, b"!#$%&'*+-.^_`|~");
    while i < tokens.len() {
        class[tokens[i] as usize] |= TOKEN;
        i += 1;
    }
    let (mut i, hosts) = (0, b"-._~%!$&'()*+,;=:[]");
    while i < hosts.len() {
        class[hosts[i] as usize] |= HOST;
        i += 1;
    }
    class
};

fn is_in(byte: u8, class: u8) -> bool {
    CLASS[byte as usize] & class != 0
}

/// Whether a byte may stand in a token: a method, a name.
pub(super) fn is_token_byte(byte: u8) -> bool {
    is_in(byte, TOKEN)
}

/// Whether a byte may stand in a value.
pub(super) fn is_value_byte(byte: u8) -> bool {
    is_in(byte, VALUE)
}

/// Whether a byte may stand in a target.
pub(super) fn is_target_byte(byte: u8) -> bool {
    is_in(byte, TARGET)
}

/// Whether a byte may stand in a host.
pub(super) fn is_host_byte(byte: u8) -> bool {
    is_in(byte, HOST)
}

/// Whether a byte may stand between quotes by itself.
pub(super) fn is_quoted_byte(byte: u8) -> bool {
    is_in(byte, QUOTED)
}

/// Finds lines in bytes that grow; each byte is read once.
#[derive(Clone, Debug, Default)]
pub(super) struct LineReader {
    /// Where the line that is being read begins, and up to where it has been looked at.
    begin: usize,
    seen: usize,
    /// How many there were.
    count: usize,
}

impl LineReader {
    /// Returns the next whole line without its end, if it is there. All lines together take `max` bytes at most.
    pub(super) fn next<'a>(
        &mut self,
        bytes: &'a [u8],
        max: usize,
    ) -> Result<Option<&'a [u8]>, FramingError> {
        let Some(line_feed) = memchr::memchr(b'\n', &bytes[self.seen..]).map(|at| self.seen + at)
        else {
            self.seen = bytes.len();
            return if bytes.len() >= max {
                Err(FramingError::TooLarge)
            } else {
                Ok(None)
            };
        };
        if line_feed >= max {
            return Err(FramingError::TooLarge);
        }
        let line = bytes[self.begin..line_feed]
            .strip_suffix(b"\r")
            .ok_or(FramingError::BareLineFeed)?;
        (self.begin, self.seen, self.count) = (line_feed + 1, line_feed + 1, self.count + 1);
        Ok(Some(line))
    }

    /// Returns how many bytes the lines so far took.
    pub(super) fn consumed(&self) -> usize {
        self.begin
    }

    /// Whether the lines so far hold no control characters but tabs and their own ends. One look at all of them costs
    /// less than one at each.
    pub(super) fn has_no_control_characters(&self, bytes: &[u8]) -> bool {
        let odd = |b: &u8| u8::from(((*b < b' ') & (*b != b'\t')) | (*b == 0x7f));
        let some = |bytes: &[u8]| usize::from(bytes.iter().fold(0, |sum: u8, b| sum + odd(b)));
        bytes[..self.begin].chunks(128).map(some).sum::<usize>() == 2 * self.count
    }
}

/// Splits a header line into name and value; the name is checked.
pub(super) fn header_line(line: &[u8]) -> Result<(&[u8], &[u8]), FramingError> {
    let colon = line
        .iter()
        .position(|b| !is_token_byte(*b))
        .ok_or(FramingError::HeaderLine)?;
    if colon == 0 || line[colon] != b':' {
        return Err(FramingError::HeaderLine);
    }
    Ok((&line[..colon], trim(&line[colon + 1..])))
}

/// Returns a value without spaces and tabs around it.
pub(super) fn trim(mut value: &[u8]) -> &[u8] {
    while let [b' ' | b'\t', rest @ ..] = value {
        value = rest;
    }
    while let [rest @ .., b' ' | b'\t'] = value {
        value = rest;
    }
    value
}
