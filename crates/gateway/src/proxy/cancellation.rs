//! Cancelling attempts whose clients have left.
//!
//! HTTP/1.1 stops an endpoint only by closing the connection, so a cancelled attempt costs one. What is left to end by itself
//! keeps it: few attempts last for [`CANCEL_DELAY`] longer.

use super::upstream_connection::CancelHandle;
use crate::clock::{self, now, Micros};
use magpieline_config::route_table::{Idempotency, Route};
use std::future::{pending, Future};
use std::pin::pin;
use tokio_util::sync::CancellationToken;

/// What nobody waits for any more may end by itself within this. Any other attempt is cut off then, well within the half second
/// for which endpoints may work for clients that have left.
const CANCEL_DELAY: Micros = 200_000;

/// By what an attempt is cancelled.
pub(super) struct Cancellation {
    is_idempotent: bool,
    client_left: CancellationToken,
}

impl Cancellation {
    /// Creates the cancellation of an attempt by its route. `client_left` is cancelled when the client leaves.
    pub(super) fn new(route: &Route, client_left: CancellationToken) -> Cancellation {
        Cancellation {
            is_idempotent: route.idempotency == Idempotency::Idempotent,
            client_left,
        }
    }

    /// Whether the client has left: nothing more is written for it.
    pub(super) fn has_client_left(&self) -> bool {
        self.client_left.is_cancelled()
    }

    /// Waits until the client leaves.
    pub(super) async fn client_left(&self) {
        self.client_left.cancelled().await;
    }

    /// Waits until a request that was handed to a connection is to be cut off. One that is not idempotent never is once a byte
    /// of it was written: it may have taken effect, and its end is the only news of that. Returns whether none was written, and
    /// none will be.
    pub(super) async fn of_sent(&self, connection: CancelHandle) -> bool {
        self.client_left().await;
        if connection.cancel() {
            return true;
        }
        if !self.is_idempotent {
            return pending().await;
        }
        clock::sleep(CANCEL_DELAY).await;
        false
    }

    /// Waits for the end of some work. Returns also when the client left, if it did before.
    pub(super) async fn observe<T>(&self, work: impl Future<Output = T>) -> (T, Option<Micros>) {
        let mut work = pin!(work);
        let mut left_at = None;
        loop {
            tokio::select! {
                biased;
                result = &mut work => return (result, left_at),
                () = self.client_left(), if left_at.is_none() => left_at = Some(now()),
            }
        }
    }
}
