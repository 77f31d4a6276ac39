//! A keeper's folder. A separate thread writes and flushes it, so that a stalled disk delays no request.

use fennelscale_fleet::disk::{self, Disk, SLOT, Write};
use fennelscale_log_writer::log_line;
use std::cell::RefCell;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Seek, SeekFrom, Write as _};
use std::path::{Path, PathBuf};
use std::sync::mpsc;
use tokio::sync::mpsc as events;

/// Receives the numbers of flushed writes.
pub type FlushedWrites = events::UnboundedReceiver<u64>;

/// Writes to a keeper's folder.
pub struct Writer {
    folder: PathBuf,
    queue: mpsc::Sender<(u64, Write)>,
    flushed: RefCell<Option<FlushedWrites>>,
}

fn log_path(folder: &Path, epoch: u64) -> PathBuf {
    folder.join(format!("log.{epoch}"))
}

fn read_if_exists(path: &Path) -> io::Result<Option<Vec<u8>>> {
    match fs::read(path) {
        Ok(bytes) => Ok(Some(bytes)),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(error),
    }
}

impl Writer {
    /// Opens a folder, creating it if it does not exist, and reads its contents.
    pub fn open(folder: &Path) -> io::Result<(Self, Disk)> {
        fs::create_dir_all(folder)?;
        let mark = read_if_exists(&folder.join("mark"))?;
        let disk = match disk::epoch(mark.as_deref()) {
            Ok(Some(epoch)) => {
                let bytes = read_if_exists(&log_path(folder, epoch))?;
                let disk = disk::read(mark.as_deref(), bytes.as_deref());
                if let Disk::Sound(found) = &disk {
                    // Discards a partial write after the valid end of the log.
                    let file = OpenOptions::new().write(true).open(log_path(folder, epoch))?;
                    file.set_len(found.sound)?;
                    file.sync_all()?;
                }
                disk
            }
            Ok(None) => {
                let has_log = fs::read_dir(folder)?.any(|entry| {
                    entry.is_ok_and(|entry| entry.file_name().to_string_lossy().starts_with("log."))
                });
                disk::read(None, has_log.then_some(&[]))
            }
            Err(_) => disk::read(mark.as_deref(), None),
        };
        let (queue, writes) = mpsc::channel();
        let (sender, flushed) = events::unbounded_channel();
        let thread_folder = folder.to_owned();
        // The queue is bounded by the log's pending writes, and each number is reported once.
        std::thread::Builder::new()
            .name("fleet-disk".into())
            .spawn(move || flush_all(&thread_folder, &writes, &sender))?;
        Ok((Self { folder: folder.to_owned(), queue, flushed: RefCell::new(Some(flushed)) }, disk))
    }

    /// Moves the folder's contents aside for inspection.
    pub fn move_aside(&self) -> io::Result<()> {
        let aside = self.folder.with_extension("lost");
        let _ = fs::remove_dir_all(&aside);
        fs::rename(&self.folder, &aside)?;
        fs::create_dir_all(&self.folder)
    }

    /// Queues a write.
    pub fn queue(&self, number: u64, write: Write) {
        // If the thread has ended, it logged the reason.
        let _ = self.queue.send((number, write));
    }

    /// The receiver of flushed writes; can be taken once.
    pub fn take_flushed(&self) -> FlushedWrites {
        self.flushed.borrow_mut().take().unwrap_or_else(|| events::unbounded_channel().1)
    }

    /// Writes and flushes synchronously.
    pub fn write(&self, write: &Write) -> io::Result<()> {
        flush(&self.folder, write)
    }
}

fn flush_all(folder: &Path, writes: &mpsc::Receiver<(u64, Write)>, flushed: &events::UnboundedSender<u64>) {
    while let Ok((number, write)) = writes.recv() {
        // A failed write and all after it are not reported as flushed.
        if let Err(error) = flush(folder, &write) {
            log_line!("fleet: {}: {error}", folder.display());
            return;
        }
        if flushed.send(number).is_err() {
            return;
        }
    }
}

fn write_at(path: &Path, offset: u64, bytes: &[u8], truncate: bool) -> io::Result<()> {
    let mut file = OpenOptions::new().write(true).create(true).truncate(truncate).open(path)?;
    file.seek(SeekFrom::Start(offset))?;
    file.write_all(bytes)?;
    file.sync_data()
}

fn flush(folder: &Path, write: &Write) -> io::Result<()> {
    write_at(&log_path(folder, write.epoch), write.at, &write.bytes, write.whole)?;
    let mark = folder.join("mark");
    if !mark.exists() {
        write_at(&mark, 0, &[0; 2 * SLOT], true)?;
    }
    if write.whole {
        // The directory entry of the new log must be durable before the mark that refers to it.
        File::open(folder)?.sync_all()?;
    }
    write_at(&mark, write.slot_at, &write.slot, false)?;
    if write.whole {
        for entry in fs::read_dir(folder)? {
            let path = entry?.path();
            let is_log = path.file_stem().is_some_and(|stem| stem == "log");
            if is_log && path != log_path(folder, write.epoch) {
                fs::remove_file(path)?;
            }
        }
    }
    Ok(())
}
