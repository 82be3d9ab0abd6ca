//! RESP2 and RESP3 without sockets. [`Reader`] takes bytes in pieces of any size and gives whole [`Value`]s or
//! commands; [`Value::write`] gives the bytes of one. Everything that comes from outside is bounded by [`Bounds`]:
//! how deep, how many, how long.
//!
//! Source: the published RESP specification, versions 2 and 3.
//!
//! ```
//! use magpieline_resp::{Bounds, Reader, Value};
//! let mut reader = Reader::new(Bounds::default());
//! reader.feed(b"*2\r\n$3\r\nGET\r\n$1\r");
//! assert_eq!(reader.value(), Ok(None));
//! reader.feed(b"\nk\r\n");
//! let get = Value::Array(vec![Value::Bulk("GET".into()), Value::Bulk("k".into())]);
//! assert_eq!(reader.value(), Ok(Some(get)));
//! ```

mod line;
mod reader;
mod value;

pub use reader::{Bounds, Reader, Unreadable};
pub use value::{Value, Version};
