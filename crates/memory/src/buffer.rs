//! A body in one piece, with the memory that it is charged.

use crate::ledger::{CHARGE_STEP, MemoryLedger, NoMemory, Reservation, SMALL_SIZE};
use bytes::Bytes;
use memmap2::{Advice, MmapMut, MmapOptions};
use std::sync::Arc;

/// The first capacity on the heap of a body that may become long.
const FIRST_CAPACITY: usize = 1024;
/// A body that may become long is on the heap up to this length.
const MAX_GROWING_LENGTH: usize = 8 * 1024;

/// Where the bytes are.
///
/// Long bodies get a mapping of their own, of which only the pages that were written are resident, and which the
/// kernel takes back at once: on the heap they would have to be copied as they grow, and holes of all sizes would
/// stay behind.
#[derive(Debug)]
enum Storage {
    Heap(Vec<u8>),
    Mapping { pages: MmapMut, length: usize },
}

impl Storage {
    fn length(&self) -> usize {
        match self {
            Self::Heap(bytes) => bytes.len(),
            Self::Mapping { length, .. } => *length,
        }
    }
}

impl AsRef<[u8]> for Storage {
    fn as_ref(&self) -> &[u8] {
        match self {
            Self::Heap(bytes) => bytes,
            Self::Mapping { pages, length } => &pages[..*length],
        }
    }
}

/// A complete body; its memory is given back when the last reference to its bytes is dropped.
struct HeldBody {
    storage: Storage,
    _reservation: Reservation,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        self.storage.as_ref()
    }
}

/// Bytes that were made elsewhere, with the memory that they are charged.
struct ChargedBytes {
    bytes: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ChargedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Charges bytes that were made elsewhere until the last reference to them is dropped.
///
/// # Errors
/// If there is no memory for them.
pub fn charge(bytes: Bytes, ledger: &Arc<MemoryLedger>) -> Result<Bytes, NoMemory> {
    let mut reservation = ledger.reservation();
    reservation.resize(bytes.len())?;
    Ok(Bytes::from_owner(ChargedBytes { bytes, _reservation: reservation }))
}

/// A body that is being received. Its pieces are copied, so that it costs what it is long, however small they are.
#[derive(Debug)]
pub struct BodyBuffer {
    storage: Storage,
    max_length: usize,
    reservation: Reservation,
}

impl BodyBuffer {
    /// An empty buffer for at most `max_length` bytes.
    pub fn new(ledger: &Arc<MemoryLedger>, max_length: usize) -> Self {
        Self { storage: Storage::Heap(Vec::new()), max_length, reservation: ledger.reservation() }
    }

    /// The number of bytes so far.
    pub fn len(&self) -> usize {
        self.storage.length()
    }

    /// Whether there are no bytes yet.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Reserves memory for a body of this length, so that appending it cannot fail for lack of it.
    ///
    /// # Errors
    /// If there is none.
    pub fn reserve(&mut self, length: usize) -> Result<(), NoMemory> {
        self.grow_reservation(Self::charged_size(length))
    }

    /// The same as soon as there is memory for it. The caller bounds the wait.
    ///
    /// # Errors
    /// If there can never be.
    pub async fn reserve_when_free(&mut self, length: usize) -> Result<(), NoMemory> {
        self.reservation.resize_when_free(Self::charged_size(length).max(self.reservation.size())).await
    }

    /// What a body of this length is charged.
    fn charged_size(length: usize) -> usize {
        if length <= SMALL_SIZE { length.max(FIRST_CAPACITY) } else { length.next_multiple_of(CHARGE_STEP) }
    }

    /// Appends a piece. The caller checks the length of the whole.
    ///
    /// # Errors
    /// If there is no memory for it; the buffer stays as it was.
    pub fn append(&mut self, piece: &[u8]) -> Result<(), NoMemory> {
        let length = self.len() + piece.len();
        if length > self.max_length {
            return Err(NoMemory::TooLarge);
        }
        // A short body whose length is known needs one piece of the heap.
        let max_heap_length = if self.max_length <= SMALL_SIZE { SMALL_SIZE } else { MAX_GROWING_LENGTH };
        if length > max_heap_length {
            self.grow_reservation(length.next_multiple_of(CHARGE_STEP))?;
            return self.append_to_mapping(piece);
        }
        if let Storage::Heap(bytes) = &mut self.storage {
            if length > bytes.capacity() {
                let growing = length.next_power_of_two().max(FIRST_CAPACITY);
                let capacity = if self.max_length <= SMALL_SIZE { self.max_length } else { growing };
                if capacity > self.reservation.size() {
                    self.reservation.resize(capacity)?;
                }
                bytes.reserve_exact(capacity - bytes.len());
            }
            bytes.extend_from_slice(piece);
        }
        Ok(())
    }

    fn grow_reservation(&mut self, size: usize) -> Result<(), NoMemory> {
        if size > self.reservation.size() { self.reservation.resize(size) } else { Ok(()) }
    }

    fn append_to_mapping(&mut self, piece: &[u8]) -> Result<(), NoMemory> {
        if let Storage::Heap(bytes) = &self.storage {
            let mut pages = MmapOptions::new()
                .len(self.max_length)
                .no_reserve_swap()
                .map_anon()
                .map_err(|_| NoMemory::InUse)?;
            // Only the pages that are written shall be resident.
            let _ = pages.advise(Advice::NoHugePage);
            pages[..bytes.len()].copy_from_slice(bytes);
            let length = bytes.len();
            self.storage = Storage::Mapping { pages, length };
        }
        if let Storage::Mapping { pages, length } = &mut self.storage {
            pages[*length..*length + piece.len()].copy_from_slice(piece);
            *length += piece.len();
        }
        Ok(())
    }

    /// The complete body.
    pub fn into_bytes(self) -> Bytes {
        let Self { storage, mut reservation, .. } = self;
        if storage.length() == 0 {
            return Bytes::new();
        }
        let size = match &storage {
            Storage::Heap(bytes) => bytes.capacity(),
            Storage::Mapping { length, .. } => length.next_multiple_of(CHARGE_STEP),
        };
        if size < reservation.size() {
            // Shrinking is never refused.
            let _ = reservation.resize(size);
        }
        Bytes::from_owner(HeldBody { storage, _reservation: reservation })
    }
}
