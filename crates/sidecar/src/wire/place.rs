//! Where partners are reached and how long that may take: a new configuration may change it at any time.

use crate::wire::nodes::Times;
use magpieline::interface::Named;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// Idle connections are dropped after this part of the time after which nodes close them: none is written to
/// just as its node closes it.
const IDLE_PART: f64 = 0.5;

/// What is around this agent besides clients and nodes, and the transport's own figures of the settings.
pub struct Around {
    /// Where the list and the platform are asked.
    pub discovery: Place,
    pub platform: Place,
    /// The revision of the list that this agent has, where it is known to go on from.
    pub list_held: Cell<Option<u64>>,
    pub times: Rc<Cell<Times>>,
    /// How long a vote's answer is waited for.
    pub vote: Cell<Duration>,
}

impl Around {
    pub fn new(discovery: String, platform: String, settings: &serde_json::Value) -> Around {
        let (times, vote) = read(settings);
        let (discovery, platform) = (Place::new(discovery), Place::new(platform));
        Around {
            discovery,
            platform,
            list_held: None.into(),
            times: Rc::new(times.into()),
            vote: vote.into(),
        }
    }

    /// Takes the figures of new settings.
    pub fn settle(&self, settings: &serde_json::Value) {
        let (times, vote) = read(settings);
        self.times.set(times);
        self.vote.set(vote);
    }
}

fn read(settings: &serde_json::Value) -> (Times, Duration) {
    let mut named = Named::new();
    magpieline::names::settings(settings, "", &mut named);
    let seconds = |name, otherwise| magpieline_dispatch::seconds(&named, name, otherwise);
    // Where the settings say nothing: what TCP users commonly allow.
    let connect = seconds("limits.connect_timeout_s", 1.0);
    let idle = seconds("limits.conn_idle_s", 10.0).mul_f64(IDLE_PART);
    (
        Times { connect, idle },
        seconds("family_info.call_timeout_s", 1.0),
    )
}

pub struct Place {
    address: RefCell<String>,
    /// How often it has changed.
    turn: Cell<u64>,
    told: Notify,
}

impl Place {
    pub fn new(address: String) -> Place {
        Place {
            address: address.into(),
            turn: Cell::default(),
            told: Notify::new(),
        }
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
