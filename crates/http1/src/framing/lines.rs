//! What is wrong with a message, classes of bytes, and the lines that heads are made of.

/// Why a message is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wrong {
    /// The first line is none that a request or an answer begins with.
    FirstLine,
    /// A line ends with a line feed alone.
    BareFeed,
    /// A header line without a colon, with a space before it or with an odd name, or one that goes on in the next.
    Field,
    /// Control characters in a value.
    Control,
    /// No `Host`, more than one, or one that names no host or another one than the target.
    Host,
    /// Lengths that contradict each other or are no plain numbers, or a length beside a coding.
    Length,
    /// A transfer coding other than `chunked`.
    Coding,
    /// Chunks that are not framed as they should be.
    Chunk,
    /// A head or what goes with chunks takes more bytes or lines than are allowed.
    TooLong,
    /// The head did not come in the time for it.
    SlowHead,
    /// The body stopped coming.
    SlowBody,
    /// An answer whose end can't be told from a break.
    Endless,
    /// An answer that nobody asked for, such as a change of protocol.
    Unasked,
}

impl Wrong {
    /// The status that a client is answered with; none of it has run.
    pub fn status(self) -> u16 {
        match self {
            Wrong::TooLong => 431,
            Wrong::SlowHead | Wrong::SlowBody => 408,
            _ => 400,
        }
    }

    pub fn text(self) -> &'static str {
        match self {
            Wrong::FirstLine => "The request line is not METHOD TARGET HTTP/1.1.",
            Wrong::BareFeed => "A line ends without a carriage return.",
            Wrong::Field => "A header line is not NAME: VALUE.",
            Wrong::Control => "A header holds control characters.",
            Wrong::Host => "Exactly one Host is expected, naming a host.",
            Wrong::Length => "Exactly one length is expected, a plain number, or chunks.",
            Wrong::Coding => "The only transfer coding is chunked.",
            Wrong::Chunk => "The chunks are not framed as they should be.",
            Wrong::TooLong => "The headers are too long.",
            Wrong::SlowHead => "The headers did not come in time.",
            Wrong::SlowBody => "The body did not come in time.",
            Wrong::Endless => "The end of the body can't be told.",
            Wrong::Unasked => "Nobody asked for it.",
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

fn is(byte: u8, class: u8) -> bool {
    CLASS[byte as usize] & class != 0
}

pub fn in_token(byte: u8) -> bool {
    is(byte, TOKEN)
}

pub fn in_value(byte: u8) -> bool {
    is(byte, VALUE)
}

pub fn in_target(byte: u8) -> bool {
    is(byte, TARGET)
}

pub fn in_host(byte: u8) -> bool {
    is(byte, HOST)
}

pub fn in_quotes(byte: u8) -> bool {
    is(byte, QUOTED)
}

/// Finds lines in bytes that grow; each byte is looked at once.
#[derive(Clone, Debug, Default)]
pub struct Lines {
    /// Where the line that is being read begins, and up to where it has been looked at.
    begin: usize,
    seen: usize,
    /// How many there were.
    count: usize,
}

impl Lines {
    /// The next whole line without its end, if it is there. All lines together take `most` bytes at most.
    pub fn next<'a>(&mut self, bytes: &'a [u8], most: usize) -> Result<Option<&'a [u8]>, Wrong> {
        let Some(feed) = memchr::memchr(b'\n', &bytes[self.seen..]).map(|at| self.seen + at) else {
            self.seen = bytes.len();
            return if bytes.len() >= most {
                Err(Wrong::TooLong)
            } else {
                Ok(None)
            };
        };
        if feed >= most {
            return Err(Wrong::TooLong);
        }
        let line = bytes[self.begin..feed]
            .strip_suffix(b"\r")
            .ok_or(Wrong::BareFeed)?;
        (self.begin, self.seen, self.count) = (feed + 1, feed + 1, self.count + 1);
        Ok(Some(line))
    }

    /// How many bytes the lines so far took.
    pub fn passed(&self) -> usize {
        self.begin
    }

    /// Whether the lines so far hold no control characters but tabs and their own ends. One look at all of them costs
    /// less than one at each.
    pub fn plain(&self, bytes: &[u8]) -> bool {
        let odd = |b: &u8| u8::from(((*b < b' ') & (*b != b'\t')) | (*b == 0x7f));
        let some = |bytes: &[u8]| usize::from(bytes.iter().fold(0, |sum: u8, b| sum + odd(b)));
        bytes[..self.begin].chunks(128).map(some).sum::<usize>() == 2 * self.count
    }
}

/// Name and value of a header line; the name is checked.
pub fn field(line: &[u8]) -> Result<(&[u8], &[u8]), Wrong> {
    let colon = line
        .iter()
        .position(|b| !in_token(*b))
        .ok_or(Wrong::Field)?;
    if colon == 0 || line[colon] != b':' {
        return Err(Wrong::Field);
    }
    Ok((&line[..colon], trimmed(&line[colon + 1..])))
}

/// Without spaces and tabs around it.
pub fn trimmed(mut value: &[u8]) -> &[u8] {
    while let [b' ' | b'\t', rest @ ..] = value {
        value = rest;
    }
    while let [rest @ .., b' ' | b'\t'] = value {
        value = rest;
    }
    value
}
