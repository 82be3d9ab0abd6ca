//! RESP2 and RESP3 without sockets. [`Reader`] takes bytes in pieces of any size and returns complete [`Value`]s or
//! commands; [`Value::write`] writes the bytes of one. Everything that comes from outside is bounded by [`Limits`]:
//! how deep, how many, how long.
//!
//! Source: the published RESP specification, versions 2 and 3.
//!
//! ```
//! use magpieline_resp::{Limits, Reader, Value};
//! let mut reader = Reader::new(Limits::default());
//! reader.feed(b"*2\r\n$3\r\nGET\r\n$1\r");
//! assert_eq!(reader.next_value(), Ok(None));
//! reader.feed(b"\nk\r\n");
//! let get = Value::Array(vec![Value::Bulk("GET".into()), Value::Bulk("k".into())]);
//! assert_eq!(reader.next_value(), Ok(Some(get)));
//! ```

#![warn(missing_docs, unreachable_pub)]

mod line;
mod reader;
mod value;

pub use reader::{Limits, ParseError, Reader};
pub use value::{Value, Version};

#[cfg(test)]
mod tests;
