//! A mark that others can wait for.

use std::cell::Cell;
use tokio::sync::Notify;

#[derive(Default)]
pub struct Signal {
    given: Cell<bool>,
    told: Notify,
}

impl Signal {
    pub fn new(given: bool) -> Signal {
        Signal {
            given: given.into(),
            told: Notify::new(),
        }
    }

    pub fn give(&self) {
        self.given.set(true);
        self.told.notify_waiters();
    }

    pub fn given(&self) -> bool {
        self.given.get()
    }

    pub fn take_back(&self) {
        self.given.set(false);
    }

    pub async fn wait(&self) {
        while !self.given.get() {
            self.told.notified().await;
        }
    }
}
