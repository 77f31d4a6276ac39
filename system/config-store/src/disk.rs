//! The store's state on disk: a `fjall` database with one record for each item, one for the acceptor state
//! and one for the progress, encoded with `bitcode` and each with its own checksum, and a digest of all
//! records together.
//!
//! All writes of a step form one batch, which is synced before the call returns: what was promised is on the
//! disk. A write that was not synced may come back in any form; the library's checksum covers the records of
//! a batch, but not the sequence number by which a later record takes precedence over an earlier one. Each
//! batch therefore includes the digest of all records after it, and files whose records do not match their
//! digest hold a partial write. The size of the journals is bounded by the disk of the machine, which two
//! programs share.

use fennelscale_replication::{AcceptorState, DiskWrites, Item, PersistedState, Progress};
use fjall::{Database, Keyspace, KeyspaceCreateOptions, PersistMode};
use std::cell::RefCell;
use std::collections::HashMap;
use std::io::{Read as _, Write as _};
use std::path::{Path, PathBuf};

/// The key of the acceptor state. It cannot be an item's name: those have a colon as their second character.
const ACCEPTOR_KEY: &str = "vows";
/// The key of the copy's progress. Older files have no such record: their copy counts as having no progress,
/// and learns it from other members.
const PROGRESS_KEY: &str = "progress";
/// The key of the digest. Older files have no such record.
const DIGEST_KEY: &str = "digest";
/// The journals may take the size of the disk divided by this.
const JOURNAL_SHARE: u64 = 4;
/// The smallest journal size that the library accepts, in bytes.
const MIN_JOURNAL_SIZE: u64 = 64 << 20;
const CACHE_SIZE: u64 = 1 << 20;
/// The longest write, in bytes: a call has at most 8 MB, and each of its items is stored once as sent.
const MAX_WRITE_SIZE: usize = 16 << 20;

/// The files of the store.
pub struct Disk {
    database: Database,
    records: Keyspace,
    hashes: RefCell<RecordHashes>,
}

/// The hash of each record and the digest, which combines them.
#[derive(Default)]
struct RecordHashes {
    by_name: HashMap<String, u64>,
    digest: u64,
}

impl RecordHashes {
    fn set(&mut self, name: &str, record: &[u8]) {
        let share = fennelscale_messages::mix(
            fennelscale_messages::hash(name.as_bytes()) ^ fennelscale_messages::hash(record),
        );
        self.digest ^= share ^ self.by_name.insert(name.to_owned(), share).unwrap_or(0);
    }
}

/// Why a store cannot be opened.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// The disk is full or fails. Its contents are unknown, and are not considered lost.
    #[error("the disk cannot be written: {0}")]
    Failing(String),
    /// The folder cannot hold the files.
    #[error("{0}")]
    Unusable(miette::Report),
}

/// Why the files of a store cannot be read.
#[derive(Debug, thiserror::Error)]
enum ReadError {
    /// The disk is full or fails, which says nothing about the files.
    #[error("disk failure: {0}")]
    Disk(String),
    /// The library rejects them.
    #[error("database: {0}")]
    Files(String),
    /// The library reads them, but a record is corrupt.
    #[error("record {0}")]
    Record(String),
    /// Each record is valid, but together they do not form a state that was written.
    #[error("the records hold a partial write")]
    PartialWrite,
}

impl From<fjall::Error> for ReadError {
    fn from(error: fjall::Error) -> Self {
        let mut cause: Option<&(dyn std::error::Error + 'static)> = Some(&error);
        while let Some(inner) = cause {
            if inner.downcast_ref::<std::io::Error>().is_some_and(is_disk_failure) {
                return Self::Disk(error.to_string());
            }
            cause = inner.source();
        }
        Self::Files(error.to_string())
    }
}

/// Whether an error is caused by the disk, whatever the files hold.
fn is_disk_failure(error: &std::io::Error) -> bool {
    use std::io::ErrorKind as Kind;
    const INPUT_OUTPUT: i32 = 5;
    let kinds = [
        Kind::StorageFull,
        Kind::QuotaExceeded,
        Kind::FileTooLarge,
        Kind::ReadOnlyFilesystem,
        Kind::TimedOut,
    ];
    kinds.contains(&error.kind()) || error.raw_os_error() == Some(INPUT_OUTPUT)
}

/// Encodes a value with its checksum in front.
fn encode_record<T: bitcode::Encode>(value: &T) -> Vec<u8> {
    let body = bitcode::encode(value);
    let mut bytes = fennelscale_messages::hash(&body).to_le_bytes().to_vec();
    bytes.extend_from_slice(&body);
    bytes
}

/// Decodes a value; none if its checksum does not match.
fn decode_record<T: for<'a> bitcode::Decode<'a>>(bytes: &[u8]) -> Option<T> {
    let (sum, body) = bytes.split_at_checked(8)?;
    (fennelscale_messages::hash(body).to_le_bytes() == sum).then(|| bitcode::decode(body).ok()).flatten()
}

/// The name of the journal that is being written, in the folder of the database.
fn newest_journal(path: &Path) -> Option<PathBuf> {
    let names =
        std::fs::read_dir(path).ok()?.filter_map(|entry| Some(PathBuf::from(entry.ok()?.file_name())));
    let number = |name: &PathBuf| -> Option<u64> { name.file_stem()?.to_str()?.parse().ok() };
    let journals = names.filter(|name| name.extension().is_some_and(|kind| kind == "jnl"));
    journals.filter(|name| number(name).is_some()).max_by_key(number)
}

/// The used part of a journal: the file is preallocated, with zeros after what was written.
fn used_part(journal: &Path) -> std::io::Result<Vec<u8>> {
    const BLOCK: usize = 1 << 16;
    let mut file = std::fs::File::open(journal)?;
    let (mut bytes, mut block) = (Vec::new(), vec![0; BLOCK]);
    let (mut zeros, mut blocks) = (0, 0);
    loop {
        let count = file.read(&mut block)?;
        if count == 0 {
            break;
        }
        blocks += count;
        match block[..count].iter().rposition(|byte| *byte != 0) {
            None => zeros += count,
            Some(at) => {
                bytes.resize(bytes.len() + std::mem::take(&mut zeros), 0);
                bytes.extend_from_slice(&block[..=at]);
                zeros = blocks - bytes.len();
            }
        }
    }
    Ok(bytes)
}

/// The length of the longest prefix of a journal that can be opened, if what follows it is less than one
/// write.
fn longest_readable_prefix(
    length: usize, is_readable: impl Fn(usize) -> Result<bool, ReadError>,
) -> Result<Option<usize>, ReadError> {
    let (mut min, mut max) = (length.saturating_sub(MAX_WRITE_SIZE), length);
    if !is_readable(min)? {
        return Ok(None);
    }
    while max - min > 1 {
        let middle = min + (max - min) / 2;
        *(if is_readable(middle)? { &mut min } else { &mut max }) = middle;
    }
    Ok(Some(min))
}

/// Writes a file of a given length that begins with some bytes and continues with zeros.
fn write_sparse(at: &Path, bytes: &[u8], length: u64) -> std::io::Result<()> {
    let mut file = std::fs::File::create(at)?;
    file.write_all(bytes)?;
    file.set_len(length)?;
    file.sync_all()
}

/// Copies a folder except for one file in it.
fn copy_except(from: &Path, to: &Path, except: &Path) -> std::io::Result<()> {
    std::fs::create_dir_all(to)?;
    for entry in std::fs::read_dir(from)? {
        let entry = entry?;
        let name = PathBuf::from(entry.file_name());
        if entry.file_type()?.is_dir() {
            copy_except(&entry.path(), &to.join(&name), Path::new(""))?;
        } else if name != except {
            std::fs::copy(entry.path(), to.join(&name))?;
        }
    }
    Ok(())
}

impl Disk {
    /// Opens the files in a folder on a disk of the given size and reads their contents. Corrupt files count
    /// as an empty disk: the copy is recovered from a quorum.
    ///
    /// # Errors
    /// When the folder cannot hold the files, or the disk fails.
    pub fn open(folder: &Path, disk_size: u64) -> Result<(Self, PersistedState), OpenError> {
        let report = |error: &dyn std::fmt::Display| {
            let at = folder.display();
            OpenError::Unusable(miette::miette!(
                help = "check that the folder exists, is writable and has free space",
                "store at {at}: {error}"
            ))
        };
        let failed = |error: std::io::Error| {
            if is_disk_failure(&error) { OpenError::Failing(error.to_string()) } else { report(&error) }
        };
        std::fs::create_dir_all(folder).map_err(failed)?;
        let path = folder.join("items");
        match Self::read(&path, disk_size) {
            Ok(read) => Ok(read),
            Err(ReadError::Disk(error)) => Err(OpenError::Failing(error)),
            Err(error) => {
                // A complete but corrupt record is not a torn write.
                if let ReadError::Files(_) | ReadError::PartialWrite = error {
                    match Self::recover_torn_journal(&path, disk_size) {
                        Ok(Some(read)) => return Ok(read),
                        // As long as no trial can be made, nothing is known about the files.
                        Err(error) => return Err(OpenError::Failing(error.to_string())),
                        Ok(None) => {}
                    }
                }
                // Logged as an error and kept aside for inspection; the store does not vote before it has
                // recovered.
                tracing::error!(event = "store-unreadable", folder = %path.display(), error = %error);
                let aside = folder.join(format!("unreadable-{}", std::process::id()));
                std::fs::rename(&path, &aside).map_err(failed)?;
                Self::read(&path, disk_size).map_err(|error| report(&error))
            }
        }
    }

    /// Opens files that the library rejects because a power loss tore the last write, which was not synced.
    /// The journal is cut to the longest prefix that the library reads, which includes every synced write.
    /// Trials are made on copies, since opening the files writes to them. Returns none if more than one write
    /// would be cut off: that is not a torn write.
    ///
    /// # Errors
    /// When the disk has no room for a trial, or fails.
    fn recover_torn_journal(
        path: &Path, disk_size: u64,
    ) -> Result<Option<(Self, PersistedState)>, ReadError> {
        let failed = |error: std::io::Error| ReadError::Disk(error.to_string());
        let Some(journal) = newest_journal(path) else { return Ok(None) };
        let bytes = used_part(&path.join(&journal)).map_err(failed)?;
        let length = std::fs::metadata(path.join(&journal)).map_err(failed)?.len();
        let trial = path.with_extension("trial");
        let is_readable = |count: usize| {
            let _ = std::fs::remove_dir_all(&trial);
            copy_except(path, &trial, &journal).map_err(failed)?;
            write_sparse(&trial.join(&journal), &bytes[..count], length).map_err(failed)?;
            match Self::read(&trial, disk_size) {
                Ok(_) => Ok(true),
                Err(error @ ReadError::Disk(_)) => Err(error),
                Err(_) => Ok(false),
            }
        };
        let longest = longest_readable_prefix(bytes.len(), is_readable);
        let _ = std::fs::remove_dir_all(&trial);
        let Some(kept) = longest? else { return Ok(None) };
        write_sparse(&path.join(&journal), &bytes[..kept], length).map_err(failed)?;
        let Ok(read) = Self::read(path, disk_size) else { return Ok(None) };
        tracing::error!(event = "journal-cut", kept, dropped = bytes.len() - kept);
        Ok(Some(read))
    }

    fn read(path: &Path, disk_size: u64) -> Result<(Self, PersistedState), ReadError> {
        let max_journal_size = (disk_size / JOURNAL_SHARE).max(MIN_JOURNAL_SIZE);
        let database = Database::builder(path)
            .worker_threads(1)
            .cache_size(CACHE_SIZE)
            .max_journaling_size(max_journal_size)
            .open()?;
        let records = database.keyspace("records", KeyspaceCreateOptions::default)?;
        let mut state = PersistedState::default();
        let (mut hashes, mut digest) = (RecordHashes::default(), None);
        for record in records.iter() {
            let (key, value) = record.into_inner()?;
            let name =
                std::str::from_utf8(&key).map_err(|_| ReadError::Record("name is not UTF-8".into()))?;
            let broken = || ReadError::Record(format!("{name} is corrupt"));
            if name == DIGEST_KEY {
                digest = Some(decode_record::<u64>(&value).ok_or_else(broken)?);
                continue;
            }
            hashes.set(name, &value);
            match name {
                ACCEPTOR_KEY => {
                    state.acceptor = Some(decode_record::<AcceptorState>(&value).ok_or_else(broken)?)
                }
                PROGRESS_KEY => state.progress = decode_record::<Progress>(&value).ok_or_else(broken)?,
                _ => drop(
                    state.items.insert(name.to_owned(), decode_record::<Item>(&value).ok_or_else(broken)?),
                ),
            }
        }
        if digest.is_some_and(|digest| digest != hashes.digest) {
            return Err(ReadError::PartialWrite);
        }
        Ok((Self { database, records, hashes: RefCell::new(hashes) }, state))
    }

    /// Writes a batch. It is durable when this returns.
    ///
    /// # Errors
    /// When the disk is full or fails: nothing of the batch may be promised.
    pub fn write(&self, writes: &DiskWrites) -> Result<(), String> {
        if writes.acceptor.is_none() && writes.progress.is_none() && writes.items.is_empty() {
            return Ok(());
        }
        let mut batch = self.database.batch();
        let mut hashes = self.hashes.borrow_mut();
        let acceptor = writes.acceptor.iter().map(|acceptor| (ACCEPTOR_KEY, encode_record(acceptor)));
        let items = writes.items.iter().map(|(name, item)| (name.as_str(), encode_record(item)));
        let progress = writes.progress.iter().map(|progress| (PROGRESS_KEY, encode_record(progress)));
        for (name, record) in acceptor.chain(progress).chain(items) {
            hashes.set(name, &record);
            batch.insert(&self.records, name, record);
        }
        batch.insert(&self.records, DIGEST_KEY, encode_record(&hashes.digest));
        batch.commit().map_err(|error| error.to_string())?;
        self.database.persist(PersistMode::SyncAll).map_err(|error| error.to_string())
    }
}

#[cfg(test)]
mod tests;
