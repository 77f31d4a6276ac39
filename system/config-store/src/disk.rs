//! The store's own state on disk: `fjall`, one record for each item and one for the promises, as `bitcode`, each with a
//! check sum of its own, and one that says of all of them together what they are.
//!
//! Every write of one step is one batch, synced before this returns: what was promised is there. A write that was not synced may come back
//! in any form; the library's check sum covers the records of a batch but not the number by which a later record goes before an
//! earlier one. So each batch brings the digest of all records as they are after it, and files whose records are not what their digest
//! says hold a write in part. Journals are bounded by the
//! machine's disk, which two programs share.

use fennelscale_replication::{AcceptorState, DiskWrites, Item, PersistedState, Progress};
use fjall::{Database, Keyspace, KeyspaceCreateOptions, PersistMode};
use std::cell::RefCell;
use std::collections::HashMap;
use std::io::{Read as _, Write as _};
use std::path::{Path, PathBuf};

/// The record of the promises. Items' names have a colon in second place.
const VOWS: &str = "vows";
/// The record of how far the copy goes. Files from before it was written have none: such a copy counts as one that is complete up to
/// nowhere, and learns that from others.
const PROGRESS: &str = "progress";
/// The record of the digest. Files from before it was written have none.
const DIGEST: &str = "digest";
/// The journal takes this part of the disk.
const JOURNAL_SHARE: u64 = 4;
/// The least journal that the library takes.
const JOURNAL_LEAST: u64 = 64 << 20;
const CACHE: u64 = 1 << 20;
/// One write is not longer than this: a call is 8 MB at most, and each of its items is kept once as sent.
const LONGEST_WRITE: usize = 16 << 20;

/// The store's files.
pub struct Disk {
    database: Database,
    records: Keyspace,
    sums: RefCell<Sums>,
}

/// What the records are: each one's share of the digest, and that.
#[derive(Default)]
struct Sums {
    of: HashMap<String, u64>,
    digest: u64,
}

impl Sums {
    fn set(&mut self, name: &str, record: &[u8]) {
        let share = fennelscale_messages::mix(
            fennelscale_messages::hash(name.as_bytes()) ^ fennelscale_messages::hash(record),
        );
        self.digest ^= share ^ self.of.insert(name.to_owned(), share).unwrap_or(0);
    }
}

/// Why there is no store on a disk.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// The disk is full or fails: what it holds is not known, and is not taken for lost.
    #[error("the disk takes no writes: {0}")]
    Failing(String),
    /// There can be no files there.
    #[error("{0}")]
    Unusable(miette::Report),
}

/// Why a store's files cannot be read.
#[derive(Debug, thiserror::Error)]
enum Unreadable {
    /// The disk is full or fails: that says nothing of the files.
    #[error("disk: {0}")]
    Disk(String),
    /// The library will not have them.
    #[error("files: {0}")]
    Files(String),
    /// It reads them, and a record is not what was written.
    #[error("record {0}")]
    Record(String),
    /// Each record is one that was written; together they are none of the states that were.
    #[error("records of a write in part")]
    Part,
}

impl From<fjall::Error> for Unreadable {
    fn from(error: fjall::Error) -> Self {
        let mut cause: Option<&(dyn std::error::Error + 'static)> = Some(&error);
        while let Some(inner) = cause {
            if inner.downcast_ref::<std::io::Error>().is_some_and(is_failing) {
                return Self::Disk(error.to_string());
            }
            cause = inner.source();
        }
        Self::Files(error.to_string())
    }
}

/// Whether an error is the disk's, whatever the files hold.
fn is_failing(error: &std::io::Error) -> bool {
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

/// A value with its check sum before it.
fn sealed<T: bitcode::Encode>(value: &T) -> Vec<u8> {
    let body = bitcode::encode(value);
    let mut bytes = fennelscale_messages::hash(&body).to_le_bytes().to_vec();
    bytes.extend_from_slice(&body);
    bytes
}

fn unsealed<T: for<'a> bitcode::Decode<'a>>(bytes: &[u8]) -> Option<T> {
    let (sum, body) = bytes.split_at_checked(8)?;
    (fennelscale_messages::hash(body).to_le_bytes() == sum).then(|| bitcode::decode(body).ok()).flatten()
}

/// The journal that is written to, below the store's folder.
fn newest_journal(place: &Path) -> Option<PathBuf> {
    let names =
        std::fs::read_dir(place).ok()?.filter_map(|entry| Some(PathBuf::from(entry.ok()?.file_name())));
    let number = |name: &PathBuf| -> Option<u64> { name.file_stem()?.to_str()?.parse().ok() };
    let journals = names.filter(|name| name.extension().is_some_and(|kind| kind == "jnl"));
    journals.filter(|name| number(name).is_some()).max_by_key(number)
}

/// What was written to a journal: it is made long at once, with zeros behind what is used.
fn beginning(journal: &Path) -> std::io::Result<Vec<u8>> {
    const BLOCK: usize = 1 << 16;
    let mut file = std::fs::File::open(journal)?;
    let (mut bytes, mut block) = (Vec::new(), vec![0; BLOCK]);
    let (mut zeros, mut blocks) = (0, 0);
    loop {
        let many = file.read(&mut block)?;
        if many == 0 {
            break;
        }
        blocks += many;
        match block[..many].iter().rposition(|byte| *byte != 0) {
            None => zeros += many,
            Some(at) => {
                bytes.resize(bytes.len() + std::mem::take(&mut zeros), 0);
                bytes.extend_from_slice(&block[..=at]);
                zeros = blocks - bytes.len();
            }
        }
    }
    Ok(bytes)
}

/// The longest beginning of a journal of so many bytes that opens, if less than one write is behind it.
fn longest_beginning(
    length: usize, opens: impl Fn(usize) -> Result<bool, Unreadable>,
) -> Result<Option<usize>, Unreadable> {
    let (mut least, mut most) = (length.saturating_sub(LONGEST_WRITE), length);
    if !opens(least)? {
        return Ok(None);
    }
    while most - least > 1 {
        let middle = least + (most - least) / 2;
        *(if opens(middle)? { &mut least } else { &mut most }) = middle;
    }
    Ok(Some(least))
}

fn write_sparse(at: &Path, bytes: &[u8], length: u64) -> std::io::Result<()> {
    let mut file = std::fs::File::create(at)?;
    file.write_all(bytes)?;
    file.set_len(length)?;
    file.sync_all()
}

/// Copies a folder but for one file in it.
fn copy_but(from: &Path, to: &Path, but: &Path) -> std::io::Result<()> {
    std::fs::create_dir_all(to)?;
    for entry in std::fs::read_dir(from)? {
        let entry = entry?;
        let name = PathBuf::from(entry.file_name());
        if entry.file_type()?.is_dir() {
            copy_but(&entry.path(), &to.join(&name), Path::new(""))?;
        } else if name != but {
            std::fs::copy(entry.path(), to.join(&name))?;
        }
    }
    Ok(())
}

impl Disk {
    /// Opens the files in a folder, of a disk of so many bytes, and reads what they hold. Files that do not check out count
    /// as an empty disk: the copy is learned again from a quorum.
    ///
    /// # Errors
    /// When there can be no files there, or the disk fails.
    pub fn open(folder: &Path, size: u64) -> Result<(Self, PersistedState), OpenError> {
        let report = |error: &dyn std::fmt::Display| {
            let at = folder.display();
            OpenError::Unusable(miette::miette!(
                help = "check that the folder is there, may be written and has room",
                "store at {at}: {error}"
            ))
        };
        let failed = |error: std::io::Error| {
            if is_failing(&error) { OpenError::Failing(error.to_string()) } else { report(&error) }
        };
        std::fs::create_dir_all(folder).map_err(failed)?;
        let place = folder.join("items");
        match Self::read(&place, size) {
            Ok(read) => Ok(read),
            Err(Unreadable::Disk(error)) => Err(OpenError::Failing(error)),
            Err(error) => {
                // A record that is whole and does not check out is no torn end.
                if let Unreadable::Files(_) | Unreadable::Part = error {
                    match Self::without_torn_end(&place, size) {
                        Ok(Some(read)) => return Ok(read),
                        // Nothing is known of the files as long as no trial can be made.
                        Err(error) => return Err(OpenError::Failing(error.to_string())),
                        Ok(None) => {}
                    }
                }
                // Loud, and kept aside for whoever wants to look at it; it votes on nothing before it has learned.
                tracing::error!(event = "store-unreadable", folder = %place.display(), error = %error);
                let aside = folder.join(format!("unreadable-{}", std::process::id()));
                std::fs::rename(&place, &aside).map_err(failed)?;
                Self::read(&place, size).map_err(|error| report(&error))
            }
        }
    }

    /// Opens files whose last write, which was not synced, was torn by a loss of power so that the library will have none of them: with the
    /// longest beginning of the journal that it reads. Every synced write is in it. Trials are made on copies, since to open is to
    /// write. None where more would go than one write can be: that is no torn end.
    ///
    /// # Errors
    /// When the disk has no room for a trial, or fails.
    fn without_torn_end(place: &Path, size: u64) -> Result<Option<(Self, PersistedState)>, Unreadable> {
        let failed = |error: std::io::Error| Unreadable::Disk(error.to_string());
        let Some(journal) = newest_journal(place) else { return Ok(None) };
        let bytes = beginning(&place.join(&journal)).map_err(failed)?;
        let length = std::fs::metadata(place.join(&journal)).map_err(failed)?.len();
        let trial = place.with_extension("trial");
        let opens = |many: usize| {
            let _ = std::fs::remove_dir_all(&trial);
            copy_but(place, &trial, &journal).map_err(failed)?;
            write_sparse(&trial.join(&journal), &bytes[..many], length).map_err(failed)?;
            match Self::read(&trial, size) {
                Ok(_) => Ok(true),
                Err(error @ Unreadable::Disk(_)) => Err(error),
                Err(_) => Ok(false),
            }
        };
        let longest = longest_beginning(bytes.len(), opens);
        let _ = std::fs::remove_dir_all(&trial);
        let Some(kept) = longest? else { return Ok(None) };
        write_sparse(&place.join(&journal), &bytes[..kept], length).map_err(failed)?;
        let Ok(read) = Self::read(place, size) else { return Ok(None) };
        tracing::error!(event = "journal-cut", kept, dropped = bytes.len() - kept);
        Ok(Some(read))
    }

    fn read(place: &Path, size: u64) -> Result<(Self, PersistedState), Unreadable> {
        let journal = (size / JOURNAL_SHARE).max(JOURNAL_LEAST);
        let database = Database::builder(place)
            .worker_threads(1)
            .cache_size(CACHE)
            .max_journaling_size(journal)
            .open()?;
        let records = database.keyspace("records", KeyspaceCreateOptions::default)?;
        let mut memory = PersistedState::default();
        let (mut sums, mut digest) = (Sums::default(), None);
        for record in records.iter() {
            let (key, value) = record.into_inner()?;
            let name = std::str::from_utf8(&key).map_err(|_| Unreadable::Record("without a name".into()))?;
            let broken = || Unreadable::Record(format!("{name} does not check out"));
            if name == DIGEST {
                digest = Some(unsealed::<u64>(&value).ok_or_else(broken)?);
                continue;
            }
            sums.set(name, &value);
            match name {
                VOWS => memory.acceptor = Some(unsealed::<AcceptorState>(&value).ok_or_else(broken)?),
                PROGRESS => memory.progress = unsealed::<Progress>(&value).ok_or_else(broken)?,
                _ => drop(memory.items.insert(name.to_owned(), unsealed::<Item>(&value).ok_or_else(broken)?)),
            }
        }
        if digest.is_some_and(|digest| digest != sums.digest) {
            return Err(Unreadable::Part);
        }
        Ok((Self { database, records, sums: RefCell::new(sums) }, memory))
    }

    /// Brings writes to the disk. They are safe when this returns.
    ///
    /// # Errors
    /// When the disk is full or fails: nothing of them may be promised then.
    pub fn write(&self, writes: &DiskWrites) -> Result<(), String> {
        if writes.acceptor.is_none() && writes.progress.is_none() && writes.items.is_empty() {
            return Ok(());
        }
        let mut batch = self.database.batch();
        let mut sums = self.sums.borrow_mut();
        let vows = writes.acceptor.iter().map(|vows| (VOWS, sealed(vows)));
        let items = writes.items.iter().map(|(name, item)| (name.as_str(), sealed(item)));
        let progress = writes.progress.iter().map(|progress| (PROGRESS, sealed(progress)));
        for (name, record) in vows.chain(progress).chain(items) {
            sums.set(name, &record);
            batch.insert(&self.records, name, record);
        }
        batch.insert(&self.records, DIGEST, sealed(&sums.digest));
        batch.commit().map_err(|error| error.to_string())?;
        self.database.persist(PersistMode::SyncAll).map_err(|error| error.to_string())
    }
}

#[cfg(test)]
mod tests;
