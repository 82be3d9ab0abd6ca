//! HTTP/1.1 framing, read strictly: where a message begins and ends, and whether that can be said at all.
//!
//! hyper serves and sends requests; these state machines stand between it and its streams and see each byte first. What two
//! readers could read in two ways is refused here, so that nothing can be smuggled inside a request or behind a response.
//!
//! - [`head`] parses the heads of requests and responses, [`body`] finds where bodies end, by length or in chunks;
//! - [`request_framing`] keeps a client's connection: what hyper may see of it, and what is answered in its place;
//! - [`response_framing`] keeps a connection to an endpoint: which of the bytes that come are the response that is due.
//!
//! All of them hold bytes within stated bounds, do no I/O and have no clock: instants are passed in.

pub mod body;
pub mod head;
mod lines;
pub mod request_framing;
pub mod response_framing;

pub use lines::FramingError;

#[cfg(test)]
mod tests;
