//! Revisions of the store, ordered over restores from a copy.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Bits of a revision below its era: ten years of 3,200 changes a second.
const NUMBER_BITS: u32 = 40;

/// A revision of the store.
///
/// A store that is restored from a copy gives out again the numbers that it has lost. It counts its
/// restores in its era, and every revision of a later era is higher than any of an earlier one.
#[derive(Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StoreRevision(u64);

impl StoreRevision {
    /// Revision of an item that does not exist.
    pub const ABSENT: Self = Self(0);

    /// Creates the revision with a number that the store gave out in an era.
    pub const fn new(era: u64, number: u64) -> Self {
        Self((era << NUMBER_BITS) | (number & ((1 << NUMBER_BITS) - 1)))
    }

    /// Creates the revision that `as_u64` turned into this number.
    pub const fn from_u64(number: u64) -> Self {
        Self(number)
    }

    /// Returns how often the store had been restored when it gave out the revision.
    pub const fn era(self) -> u64 {
        self.0 >> NUMBER_BITS
    }

    /// Returns the number as the store gave it out.
    pub const fn number(self) -> u64 {
        self.0 & ((1 << NUMBER_BITS) - 1)
    }

    /// Returns era and number as one number that grows with the revision.
    pub const fn as_u64(self) -> u64 {
        self.0
    }
}

impl fmt::Display for StoreRevision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era() {
            0 => write!(formatter, "{}", self.number()),
            era => write!(formatter, "{era}:{}", self.number()),
        }
    }
}

impl fmt::Debug for StoreRevision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}
