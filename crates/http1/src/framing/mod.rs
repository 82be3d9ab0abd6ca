//! HTTP/1.1 framing, read strictly: where a message begins and ends, and whether that can be said at all.
//!
//! hyper serves and asks; these machines stand between it and its streams and see each byte first. What two readers
//! could read in two ways is refused here, so that nothing can be hidden inside a request or behind an answer.
//!
//! - [`head`] reads the heads of requests and answers, [`body`] finds where bodies end, by length or in chunks;
//! - [`doorway`] keeps a client's connection: what hyper may see of it, and what is answered in its place;
//! - [`echo`] keeps a connection to an appliance: which of the bytes that come are the answer that is due.
//!
//! All of them hold bytes within stated bounds, do no I/O and have no clock: times are passed in.

pub mod body;
pub mod head;
mod lines;
pub mod request_framing;
pub mod response_framing;

pub use lines::Wrong;

#[cfg(test)]
mod tests;
