//! Reservations of memory for bodies: [`magpieline_memory_budget`] shared by tasks, which wait for room and give it back when they
//! end, however they end.

use crate::clock::{duration, now, Micros};
use magpieline_memory_budget::{Budget, Limits, Purpose, Refusal, WaitId};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::oneshot;

/// Bytes of a unit of `memory_mb`.
pub(crate) const MEGABYTE: u64 = 1_000_000;

/// Returns the limits of a process with so many megabytes of memory, before it has a configuration.
pub fn limits(memory_mb: u64) -> Limits {
    Limits::of_memory(memory_mb.saturating_mul(MEGABYTE))
}

/// The budget of a process, shared by its tasks.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    shared: Arc<Mutex<Shared>>,
}

#[derive(Debug)]
struct Shared {
    budget: Budget,
    memory_bytes: u64,
    /// Bytes of the state, which bodies can't have.
    state_bytes: u64,
    /// Who is told when a wait has its reservation.
    waiters: HashMap<WaitId, oneshot::Sender<()>>,
}

impl Shared {
    /// Counts by what the state leaves of the memory.
    fn update_limits(&mut self) {
        let left = self.memory_bytes.saturating_sub(self.state_bytes);
        let granted = self.budget.set_limits(Limits::of_memory(left));
        self.wake(granted);
    }

    fn wake(&mut self, granted: Vec<WaitId>) {
        for id in granted {
            // A waiter that has gone finds its reservation when it cancels.
            let waiter = self.waiters.remove(&id);
            let _ = waiter.map(|waiter| waiter.send(()));
        }
    }
}

/// How much is reserved, for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemoryUse {
    /// Bytes reserved for requests and for responses, in the order of [`Purpose::ALL`].
    pub reserved: [u64; Purpose::ALL.len()],
    /// The highest that their sum has been.
    pub peak: u64,
    /// How many wait for room.
    pub waiting: usize,
    /// The limits.
    pub limits: Limits,
}

impl MemoryBudget {
    /// Creates the budget of a process with so many megabytes of memory.
    pub fn new(memory_mb: u64) -> MemoryBudget {
        let shared = Shared {
            budget: Budget::new(limits(memory_mb)),
            memory_bytes: memory_mb.saturating_mul(MEGABYTE),
            state_bytes: 0,
            waiters: HashMap::new(),
        };
        MemoryBudget {
            shared: Arc::new(Mutex::new(shared)),
        }
    }

    fn shared(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes over how much memory the process has from now on.
    pub fn set_memory(&self, memory_mb: u64) {
        let mut shared = self.shared();
        shared.memory_bytes = memory_mb.saturating_mul(MEGABYTE);
        shared.update_limits();
    }

    /// Takes over how many bytes the process's state takes: the configuration and all that is kept of it. They are not there for
    /// bodies.
    pub fn set_state_bytes(&self, bytes: u64) {
        let mut shared = self.shared();
        shared.state_bytes = bytes;
        shared.update_limits();
    }

    /// Returns how much is reserved now.
    pub fn usage(&self) -> MemoryUse {
        let shared = self.shared();
        MemoryUse {
            reserved: Purpose::ALL.map(|purpose| shared.budget.used_for(purpose)),
            peak: shared.budget.peak(),
            waiting: shared.budget.waiting(),
            limits: shared.budget.limits().clone(),
        }
    }

    /// Returns a reservation of no bytes, which may grow.
    pub fn empty(&self, purpose: Purpose) -> Reservation {
        self.reserved(purpose, 0)
    }

    /// Returns what stands for bytes that the budget counts as reserved.
    fn reserved(&self, purpose: Purpose, bytes: u64) -> Reservation {
        Reservation {
            budget: self.clone(),
            purpose,
            bytes,
        }
    }

    /// Reserves bytes, and waits for room until `deadline` at the latest. Cancel safe.
    ///
    /// # Errors
    ///
    /// If there is no room by then, will never be, or enough others wait.
    pub async fn reserve(
        &self,
        purpose: Purpose,
        bytes: u64,
        deadline: Micros,
    ) -> Result<Reservation, Refusal> {
        let (mut wait, granted) = match self.begin(purpose, bytes)? {
            Begun::Granted(reservation) => return Ok(reservation),
            Begun::Waiting(wait, granted) => (wait, granted),
        };
        let left = duration(deadline.saturating_sub(now()));
        let _ = tokio::time::timeout(left, granted).await;
        wait.end().ok_or(Refusal::Exhausted)
    }

    fn begin(&self, purpose: Purpose, bytes: u64) -> Result<Begun, Refusal> {
        let mut shared = self.shared();
        match shared.budget.reserve(purpose, bytes) {
            Ok(()) => return Ok(Begun::Granted(self.reserved(purpose, bytes))),
            Err(Refusal::Exhausted) => {}
            Err(refusal) => return Err(refusal),
        }
        let id = shared.budget.enqueue(purpose, bytes)?;
        let (waiter, granted) = oneshot::channel();
        shared.waiters.insert(id, waiter);
        let reservation = Some(self.reserved(purpose, bytes));
        Ok(Begun::Waiting(Wait { id, reservation }, granted))
    }
}

/// What came of asking for a reservation.
enum Begun {
    Granted(Reservation),
    /// The receiver is told once it is granted.
    Waiting(Wait, oneshot::Receiver<()>),
}

/// A wait for a reservation; dropped, it ends, and what it was granted meanwhile is released.
struct Wait {
    id: WaitId,
    /// What is waited for; none once the wait has ended.
    reservation: Option<Reservation>,
}

impl Wait {
    /// Ends the wait. Returns the reservation if it was granted.
    fn end(&mut self) -> Option<Reservation> {
        let mut reservation = self.reservation.take()?;
        let was_waiting = {
            let mut shared = reservation.budget.shared();
            shared.waiters.remove(&self.id);
            shared.budget.cancel(self.id)
        };
        if was_waiting {
            reservation.bytes = 0;
            return None;
        }
        Some(reservation)
    }
}

impl Drop for Wait {
    fn drop(&mut self) {
        drop(self.end());
    }
}

/// Reserved bytes; released when it is dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: MemoryBudget,
    purpose: Purpose,
    bytes: u64,
}

impl Reservation {
    /// Reserves so many bytes in all, if it has fewer.
    ///
    /// # Errors
    ///
    /// If there is no room for them.
    pub fn grow_to(&mut self, bytes: u64) -> Result<(), Refusal> {
        if bytes > self.bytes {
            let mut shared = self.budget.shared();
            shared.budget.resize(self.purpose, self.bytes, bytes)?;
            drop(shared);
            self.bytes = bytes;
        }
        Ok(())
    }

    /// Releases what is reserved beyond so many bytes.
    pub fn shrink(&mut self, bytes: u64) {
        if bytes < self.bytes {
            let mut shared = self.budget.shared();
            let granted = shared.budget.shrink(self.purpose, self.bytes, bytes);
            shared.wake(granted);
            drop(shared);
            self.bytes = bytes;
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if self.bytes > 0 {
            let mut shared = self.budget.shared();
            let granted = shared.budget.release(self.purpose, self.bytes);
            shared.wake(granted);
        }
    }
}
