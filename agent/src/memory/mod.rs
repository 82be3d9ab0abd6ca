//! What is kept: the exchange in which both sides meet, and ids at the door.

pub mod changes;
pub mod exchange;
pub mod keys;
pub mod nodes;
pub mod place;
pub mod record;
pub mod signal;
