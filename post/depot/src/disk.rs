//! The store's own state on disk: `fjall`, one record for each item and one for the promises, as `bitcode`, each with a
//! check sum of its own.
//!
//! Every write of one step is one batch, synced before this returns: what was promised is there. Journals are bounded by the
//! machine's disk, which two programs share.

use fjall::{Database, Keyspace, KeyspaceCreateOptions, PersistMode};
use post_book::{Item, Memory, Vows, Writes};
use std::collections::BTreeMap;
use std::path::Path;

/// The record of the promises. Items' names have a colon in second place.
const VOWS: &str = "vows";
/// The journal takes this part of the disk.
const JOURNAL_SHARE: u64 = 4;
/// The least journal that the library takes.
const JOURNAL_LEAST: u64 = 64 << 20;
const CACHE: u64 = 1 << 20;

/// The store's files.
pub struct Disk {
    database: Database,
    records: Keyspace,
}

/// A value with its check sum before it.
fn sealed<T: bitcode::Encode>(value: &T) -> Vec<u8> {
    let body = bitcode::encode(value);
    let mut bytes = post_words::hash(&body).to_le_bytes().to_vec();
    bytes.extend_from_slice(&body);
    bytes
}

fn unsealed<T: for<'a> bitcode::Decode<'a>>(bytes: &[u8]) -> Option<T> {
    let (sum, body) = bytes.split_at_checked(8)?;
    (post_words::hash(body).to_le_bytes() == sum).then(|| bitcode::decode(body).ok()).flatten()
}

impl Disk {
    /// Opens the files in a folder, of a disk of so many bytes, and reads what they hold. Files that do not check out count
    /// as an empty disk: the copy is learned again from a quorum.
    ///
    /// # Errors
    /// When there can be no files there.
    pub fn open(folder: &Path, size: u64) -> miette::Result<(Self, Memory)> {
        let report = |error: &dyn std::fmt::Display| {
            let at = folder.display();
            miette::miette!(
                help = "check that the folder is there, may be written and has room",
                "store at {at}: {error}"
            )
        };
        std::fs::create_dir_all(folder).map_err(|error| report(&error))?;
        let place = folder.join("items");
        match Self::read(&place, size) {
            Ok(read) => Ok(read),
            Err(error) => {
                // Loud, and kept aside for whoever wants to look at it; it votes on nothing before it has learned.
                tracing::error!(event = "store-unreadable", folder = %place.display(), error);
                let aside = folder.join(format!("unreadable-{}", std::process::id()));
                std::fs::rename(&place, &aside).map_err(|error| report(&error))?;
                Self::read(&place, size).map_err(|error| report(&error))
            }
        }
    }

    fn read(place: &Path, size: u64) -> Result<(Self, Memory), String> {
        let text = |error: fjall::Error| error.to_string();
        let journal = (size / JOURNAL_SHARE).max(JOURNAL_LEAST);
        let database = Database::builder(place)
            .worker_threads(1)
            .cache_size(CACHE)
            .max_journaling_size(journal)
            .open()
            .map_err(text)?;
        let records = database.keyspace("records", KeyspaceCreateOptions::default).map_err(text)?;
        let mut memory = Memory { vows: None, items: BTreeMap::new() };
        for record in records.iter() {
            let (key, value) = record.into_inner().map_err(text)?;
            let name = std::str::from_utf8(&key).map_err(|_| "a record without a name".to_owned())?;
            let broken = || format!("record {name} does not check out");
            if name == VOWS {
                memory.vows = Some(unsealed::<Vows>(&value).ok_or_else(broken)?);
            } else {
                memory.items.insert(name.to_owned(), unsealed::<Item>(&value).ok_or_else(broken)?);
            }
        }
        Ok((Self { database, records }, memory))
    }

    /// Brings writes to the disk. They are safe when this returns.
    ///
    /// # Errors
    /// When the disk is full or fails: nothing of them may be promised then.
    pub fn write(&self, writes: &Writes) -> Result<(), String> {
        if writes.vows.is_none() && writes.items.is_empty() {
            return Ok(());
        }
        let mut batch = self.database.batch();
        if let Some(vows) = &writes.vows {
            batch.insert(&self.records, VOWS, sealed(vows));
        }
        for (name, item) in &writes.items {
            batch.insert(&self.records, name.as_str(), sealed(item));
        }
        batch.commit().map_err(|error| error.to_string())?;
        self.database.persist(PersistMode::SyncAll).map_err(|error| error.to_string())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use post_words::Host;
    use post_words::depot::{Entry, Epoch};

    fn writes(round: u64) -> Writes {
        let vows = Vows { promised: Epoch { round, seat: Host(1) }, joined: Epoch::default() };
        let entry = Entry { revision: round, body: Some("{}".into()), ..Entry::default() };
        let item = Item { chosen: Some(entry), pending: None };
        Writes { vows: Some(vows), items: vec![(format!("r:{}", round % 3), item)] }
    }

    #[test]
    fn what_was_written_is_there_at_the_next_start() {
        let folder = std::env::temp_dir().join(format!("depot-{}", std::process::id()));
        let (disk, memory) = Disk::open(&folder, 256_000_000).unwrap();
        assert_eq!(memory, Memory::default());
        (1..8).for_each(|round| disk.write(&writes(round)).unwrap());
        drop(disk);
        let (disk, memory) = Disk::open(&folder, 256_000_000).unwrap();
        assert_eq!(memory.vows, writes(7).vows);
        assert_eq!(memory.items["r:2"], writes(5).items[0].1);
        // A record that does not check out: the whole counts as forgotten, and is kept aside.
        disk.records.insert("r:2", b"torn".as_slice()).unwrap();
        drop(disk);
        let (_, memory) = Disk::open(&folder, 256_000_000).unwrap();
        assert_eq!(memory, Memory::default());
        std::fs::remove_dir_all(&folder).unwrap();
    }
}
