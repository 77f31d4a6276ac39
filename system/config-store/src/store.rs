//! The replica and its disk: the writes of a step are synced before any of its outputs is released.
//!
//! A failed write ends the replica, not the process: its state in memory is ahead of the disk and must not be
//! promised. The store is then *suspended*: it votes on nothing and answers nothing. Once the disk accepts a
//! write again, the store continues from the state on the disk, as after a kill.

use crate::disk::{Disk, OpenError};
use fennelscale_replication::{DiskWrites, Output, Replica, ReplicaConfig};
use std::path::{Path, PathBuf};

/// A replica with its disk, or a suspended store.
pub struct Store {
    config: ReplicaConfig,
    folder: PathBuf,
    /// The size of the disk in bytes.
    disk_size: u64,
    /// None while the store is suspended.
    running: Option<(Replica, Disk)>,
}

impl Store {
    /// Opens the files in a folder on a disk of the given size. If the disk is full or fails, the store
    /// starts suspended.
    ///
    /// # Errors
    /// When the folder cannot hold the files.
    pub fn open(config: ReplicaConfig, folder: &Path, disk_size: u64, now: f64) -> miette::Result<Self> {
        let mut store = Self { config, folder: folder.to_path_buf(), disk_size, running: None };
        match store.start(now) {
            Ok(running) => store.running = Some(running),
            Err(OpenError::Failing(error)) => tracing::error!(event = "disk-failed", error),
            Err(OpenError::Unusable(report)) => return Err(report),
        }
        Ok(store)
    }

    fn start(&self, now: f64) -> Result<(Replica, Disk), OpenError> {
        let (disk, persisted) = Disk::open(&self.folder, self.disk_size)?;
        tracing::info!(
            event = "disk-read",
            items = persisted.items.len(),
            blank = persisted.acceptor.is_none()
        );
        Ok((Replica::new(self.config.clone(), persisted, now), disk))
    }

    /// The replica; none while suspended.
    pub fn replica(&self) -> Option<&Replica> {
        self.running.as_ref().map(|(replica, _)| replica)
    }

    /// Passes an input to the replica and returns its outputs once its writes are durable; none while
    /// suspended.
    ///
    /// # Errors
    /// When the write failed: the store is suspended.
    pub fn step(&mut self, now: f64, input: impl FnOnce(&mut Replica, f64)) -> Result<Vec<Output>, String> {
        let Some((replica, disk)) = self.running.as_mut() else { return Ok(Vec::new()) };
        input(replica, now);
        if let Err(error) = disk.write(&replica.take_writes()) {
            self.running = None;
            return Err(error);
        }
        // The bootstrap state is on the disk by now. A disk that is empty at a later reopening has lost its
        // state.
        self.config.bootstrap = false;
        Ok(replica.take_outputs())
    }

    /// Tries to continue from the state on the disk.
    ///
    /// # Errors
    /// When the disk still fails writes.
    pub fn reopen(&mut self, now: f64) -> Result<(), String> {
        let (replica, disk) = self.start(now).map_err(|error| error.to_string())?;
        // Writes a record that always exists, to find out whether the disk accepts writes.
        let progress = Some(replica.progress());
        disk.write(&DiskWrites { progress, ..DiskWrites::default() })?;
        self.running = Some((replica, disk));
        Ok(())
    }
}
