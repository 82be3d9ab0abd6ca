//! The names of headers, in one place.

/// A hit's id: another one each time, a client's own retry included.
pub const TXN: &str = "x-txn";
/// By which nodes tell a tagged hit's repeats.
pub const IDEMPOTENCY: &str = "idempotency-key";
/// The subject of a hit: its key.
pub const ENTITY: &str = "x-entity";
/// The account of a hit.
pub const ORG: &str = "x-org";
/// How long the client, or the agent, waits for the answer, in milliseconds.
pub const REMAINING: &str = "x-remaining-ms";
/// An estimate of the work, in microseconds.
pub const ESTIMATE: &str = "x-estimate";
/// Set where a node turned a hit away unseen.
pub const TURNED_AWAY: &str = "x-turned-away";

/// Headers that concern one connection only and are not passed on (RFC 9110, 7.6.1), and those that the
/// next connection writes anew.
pub const OF_ONE_CONNECTION: [&str; 11] = [
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    REMAINING,
];
