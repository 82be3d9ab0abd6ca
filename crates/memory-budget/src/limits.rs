//! How much may be reserved, by the memory of the machine.

use crate::Purpose;

/// Parts of a process's memory in which its budget is counted.
const PARTS: u64 = 24;
/// All that is reserved together. The rest is for the program itself, its configuration, heads, and what the allocator keeps.
const TOTAL_PARTS: u64 = 16;
/// Bodies of requests together: the rest is left for responses, without which no request ends.
const REQUEST_PARTS: u64 = 14;
/// Large bodies of requests together.
const LARGE_REQUEST_PARTS: u64 = 12;
/// Large bodies of responses together.
const LARGE_RESPONSE_PARTS: u64 = 14;
/// Requests that may wait: their clients are held up, yet what they have sent already lies in the system's buffers.
const MAX_WAITING_REQUESTS: usize = 64;

/// How much may be reserved.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    total: u64,
    all: [u64; Purpose::ALL.len()],
    large: [u64; Purpose::ALL.len()],
}

impl Limits {
    /// Reservations of up to so many bytes are small.
    pub const SMALL_BYTES: u64 = 64 << 10;

    /// Returns the limits of a process that may take so many bytes of memory.
    pub fn of_memory(bytes: u64) -> Limits {
        let part = bytes / PARTS;
        Limits {
            total: part * TOTAL_PARTS,
            all: [part * REQUEST_PARTS, part * TOTAL_PARTS],
            large: [part * LARGE_REQUEST_PARTS, part * LARGE_RESPONSE_PARTS],
        }
    }

    /// Returns the bytes that may be reserved in all.
    pub fn total(&self) -> u64 {
        self.total
    }

    /// Returns the bytes that may be reserved for one purpose.
    pub fn all(&self, purpose: Purpose) -> u64 {
        self.all[purpose as usize]
    }

    /// Returns the bytes that large reservations of one purpose may take together.
    pub fn large(&self, purpose: Purpose) -> u64 {
        self.large[purpose as usize]
    }

    /// Returns the longest single reservation.
    pub fn longest(&self, purpose: Purpose) -> u64 {
        let small = Limits::SMALL_BYTES.min(self.all(purpose));
        self.large(purpose).max(small)
    }

    /// Returns how many may wait at once. All responses may: their requests have run, and there are no more of them than attempts.
    pub fn max_waiting(&self, purpose: Purpose) -> usize {
        match purpose {
            Purpose::Request => MAX_WAITING_REQUESTS,
            Purpose::Response => usize::MAX,
        }
    }
}
