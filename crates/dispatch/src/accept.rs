//! How every front whose clients hold connections takes them in.

use crate::crowd::Crowd;
use crate::exchange::Exchange;
use std::future::Future;
use std::io;
use std::time::Duration;

/// Before accepting again when that failed or there is no room: some connections end in that time.
const PAUSE: Duration = Duration::from_millis(1);
/// On stopping, how long after idle connections begin to close new ones are still taken. What comes later
/// could not be answered before the end that others set.
const LAST: Duration = Duration::from_millis(200);

/// Accepts connections of a front, by its number in the crowd, until the program stops; what the kernel has accepted
/// by then is taken first.
pub async fn accept<S, F: Future<Output = io::Result<S>>>(
    exchange: &Exchange,
    crowd: &Crowd,
    front: usize,
    next: impl Fn() -> F,
    attend: impl Fn(S),
) {
    let stopped = async {
        exchange.closing.wait().await;
        tokio::time::sleep(LAST).await;
    };
    tokio::pin!(stopped);
    loop {
        if !crowd.room(front, exchange.clients_bound(crowd)) {
            exchange.complain("accept", "as many connections as there is room for");
            tokio::time::sleep(PAUSE).await;
            continue;
        }
        let accepted = tokio::select! {
            biased;
            accepted = next() => accepted,
            () = &mut stopped => return,
        };
        match accepted {
            Ok(stream) => attend(stream),
            Err(e) => {
                exchange.complain("accept", &e.to_string());
                exchange.drop_idle();
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}
