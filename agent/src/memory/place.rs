//! Where a partner is reached: an address that a new configuration may change at any time.

use std::cell::{Cell, RefCell};
use tokio::sync::Notify;

pub struct Place {
    address: RefCell<String>,
    /// How often it has changed.
    turn: Cell<u64>,
    told: Notify,
}

impl Place {
    pub fn new(address: String) -> Place {
        Place { address: address.into(), turn: Cell::default(), told: Notify::new() }
    }

    pub fn address(&self) -> String {
        self.address.borrow().clone()
    }

    pub fn turn(&self) -> u64 {
        self.turn.get()
    }

    /// Takes a new address; whoever is at another one hears of it.
    pub fn set(&self, address: &str) {
        if *self.address.borrow() != address {
            *self.address.borrow_mut() = address.to_owned();
            self.turn.set(self.turn.get() + 1);
            self.told.notify_waiters();
        }
    }

    /// Waits until the address is no longer that of this turn.
    pub async fn left(&self, turn: u64) {
        while self.turn.get() == turn {
            self.told.notified().await;
        }
    }
}
