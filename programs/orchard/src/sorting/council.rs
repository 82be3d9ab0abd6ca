//! The agreement among the sorting machines, as the rest of the program sees it.

use super::Sorting;
use magpieline_almanac::machine::Machine;
use magpieline_trellis::records::Command;
use std::net::SocketAddrV4;
use std::sync::atomic::{AtomicU64, Ordering};

/// Why a command was not agreed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Another machine leads, or none.
    NotLeading,
    /// It may be in force or not.
    Unknown,
}

pub struct Council {
    own: SocketAddrV4,
    leader: SocketAddrV4,
    all: Vec<SocketAddrV4>,
    index: AtomicU64,
}

impl Council {
    pub fn new(machine: &Machine, _life: u64) -> Council {
        let inner = machine.inner_ports.0;
        let mut all: Vec<SocketAddrV4> =
            machine.seeds.iter().map(|s| SocketAddrV4::new(*s.ip(), inner)).collect();
        all.sort();
        let own = SocketAddrV4::new(machine.ip, inner);
        Council { own, leader: all.first().copied().unwrap_or(own), all, index: AtomicU64::new(0) }
    }

    pub fn leads(&self) -> bool {
        self.own == self.leader
    }

    pub fn leader(&self) -> Option<SocketAddrV4> {
        Some(self.leader)
    }

    pub fn term(&self) -> u64 {
        1
    }

    pub fn members(&self) -> Vec<SocketAddrV4> {
        self.all.clone()
    }

    pub async fn propose(&self, sorting: &Sorting, command: &Command) -> Result<(), Refusal> {
        if !self.leads() {
            return Err(Refusal::NotLeading);
        }
        let index = self.index.fetch_add(1, Ordering::Relaxed) + 1;
        sorting.applied(index, command);
        Ok(())
    }

    /// Waits until all that was acknowledged before now is known here.
    pub async fn barrier(&self) -> Result<(), Refusal> {
        if self.leads() {
            Ok(())
        } else {
            Err(Refusal::NotLeading)
        }
    }
}
