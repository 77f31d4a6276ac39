//! The state machine and its disk: what a step writes is synced before anything of it is told.
//!
//! A disk that takes no write ends the state machine, not the process: what it holds in memory is ahead of the disk, and may not be
//! promised. The store is then *suspended*: it votes on nothing and answers nothing. It goes on from what the disk holds once that takes
//! a write again, as after a kill.

use crate::disk::{Disk, OpenError};
use fennelscale_replication::{DiskWrites, Output, Replica, ReplicaConfig};
use std::path::{Path, PathBuf};

/// A store.
pub struct Store {
    place: ReplicaConfig,
    folder: PathBuf,
    /// Bytes of the disk.
    size: u64,
    /// None while the disk takes no writes.
    running: Option<(Replica, Disk)>,
}

impl Store {
    /// Opens the files in a folder, of a disk of so many bytes. Where that disk is full or fails the store starts suspended.
    ///
    /// # Errors
    /// When there can be no files there.
    pub fn open(place: ReplicaConfig, folder: &Path, size: u64, now: f64) -> miette::Result<Self> {
        let mut store = Self { place, folder: folder.to_path_buf(), size, running: None };
        match store.start(now) {
            Ok(running) => store.running = Some(running),
            Err(OpenError::Failing(error)) => tracing::error!(event = "disk-failed", error),
            Err(OpenError::Unusable(report)) => return Err(report),
        }
        Ok(store)
    }

    fn start(&self, now: f64) -> Result<(Replica, Disk), OpenError> {
        let (disk, memory) = Disk::open(&self.folder, self.size)?;
        tracing::info!(event = "disk-read", items = memory.items.len(), blank = memory.acceptor.is_none());
        Ok((Replica::new(self.place.clone(), memory, now), disk))
    }

    /// The state machine; none while the disk takes no writes.
    pub fn book(&self) -> Option<&Replica> {
        self.running.as_ref().map(|(book, _)| book)
    }

    /// Gives the state machine an input. What it wants done, once what it writes is safe; nothing while suspended.
    ///
    /// # Errors
    /// When the disk did not take the write: the store is suspended.
    pub fn with(&mut self, now: f64, input: impl FnOnce(&mut Replica, f64)) -> Result<Vec<Output>, String> {
        let Some((book, disk)) = self.running.as_mut() else { return Ok(Vec::new()) };
        input(book, now);
        if let Err(error) = disk.write(&book.take_writes()) {
            self.running = None;
            return Err(error);
        }
        // What the first start asks for is on the disk by now. A disk that comes back empty later is one that was lost.
        self.place.bootstrap = false;
        Ok(book.take_outputs())
    }

    /// Tries to go on from what is on the disk.
    ///
    /// # Errors
    /// When the disk still takes no write.
    pub fn reopen(&mut self, now: f64) -> Result<(), String> {
        let (book, disk) = self.start(now).map_err(|error| error.to_string())?;
        // A record that is written in any case: shows whether there is room.
        let progress = Some(book.progress());
        disk.write(&DiskWrites { progress, ..DiskWrites::default() })?;
        self.running = Some((book, disk));
        Ok(())
    }
}
