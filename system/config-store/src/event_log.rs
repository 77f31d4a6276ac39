//! Events stored for the registry of this machine, for readers after the end of its process.
//!
//! There are two plain files, written alternately, each of half of [`MAX_SIZE`]: when one is full the other
//! is truncated and started again, so that between half and all of the last [`MAX_SIZE`] bytes are present.
//! The store's database is not used: a failed write (on a full disk) makes it unusable, and the store would
//! have to stop because of events. A second database would need the library's minimum journal, a quarter of
//! the disk.
//!
//! A file consists of a number, which increases with each start of a file, and records of length, checksum
//! and event. A batch is written and synced together. The first invalid record ends its file; whatever
//! follows it is cut off before the next write.

use fennelscale_messages::feed::{Event, EventPage, EventQuery, FeedPosition};
use std::fs::{File, OpenOptions};
use std::io::{self, Read as _, Seek as _, SeekFrom, Write as _};
use std::path::PathBuf;

/// The size of both files together, in bytes.
const MAX_SIZE: u64 = 2 << 20;
/// The most events in one page.
const MAX_PAGE_EVENTS: usize = 500;
/// The header of a record: its length and its checksum.
const RECORD_HEADER_SIZE: usize = 12;
/// The header of a file: its number.
const FILE_HEADER_SIZE: usize = 8;

/// The stored events.
pub struct EventLog {
    folder: PathBuf,
    open_file: Option<OpenFile>,
}

/// The file that is being written.
struct OpenFile {
    file: File,
    index: usize,
    number: u64,
    /// The length of its valid part.
    valid_length: u64,
}

fn encode_record(event: &Event, bytes: &mut Vec<u8>) {
    let body = bitcode::encode(event);
    bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&fennelscale_messages::hash(&body).to_le_bytes());
    bytes.extend_from_slice(&body);
}

/// Decodes the first record and its length; none if it is invalid.
fn decode_first(bytes: &[u8]) -> Option<(Event, usize)> {
    let (head, rest) = bytes.split_at_checked(RECORD_HEADER_SIZE)?;
    let (length, checksum) = head.split_at(4);
    let length = u32::from_le_bytes(length.try_into().ok()?) as usize;
    let body = rest.get(..length)?;
    let valid = fennelscale_messages::hash(body).to_le_bytes() == checksum;
    Some((bitcode::decode(body).ok().filter(|_| valid)?, RECORD_HEADER_SIZE + length))
}

/// The number and the valid records of a file.
struct StoredFile {
    number: u64,
    events: Vec<Event>,
    valid_length: u64,
}

impl EventLog {
    /// An event log in a folder. Nothing is read or written yet.
    pub fn new(folder: PathBuf) -> Self {
        Self { folder, open_file: None }
    }

    fn path(&self, index: usize) -> PathBuf {
        self.folder.join(index.to_string())
    }

    fn read_file(&self, index: usize) -> io::Result<StoredFile> {
        let mut bytes = Vec::new();
        match File::open(self.path(index)) {
            Ok(file) => drop(file.take(MAX_SIZE).read_to_end(&mut bytes)?),
            Err(error) if error.kind() == io::ErrorKind::NotFound => {}
            Err(error) => return Err(error),
        }
        let mut stored = StoredFile { number: 0, events: Vec::new(), valid_length: 0 };
        if let Some(number) = bytes.get(..FILE_HEADER_SIZE).and_then(|bytes| bytes.try_into().ok()) {
            (stored.number, stored.valid_length) = (u64::from_le_bytes(number), FILE_HEADER_SIZE as u64);
        }
        while let Some((event, length)) =
            decode_first(bytes.get(stored.valid_length as usize..).unwrap_or_default())
        {
            stored.events.push(event);
            stored.valid_length += length as u64;
        }
        Ok(stored)
    }

    /// Truncates a file and starts it with a number.
    fn start_file(&self, index: usize, number: u64) -> io::Result<OpenFile> {
        let mut file = OpenOptions::new().create(true).write(true).truncate(true).open(self.path(index))?;
        file.write_all(&number.to_le_bytes())?;
        file.sync_all()?;
        Ok(OpenFile { file, index, number, valid_length: FILE_HEADER_SIZE as u64 })
    }

    /// Opens the newest file for writing after its valid part.
    fn open_newest(&self) -> io::Result<OpenFile> {
        std::fs::create_dir_all(&self.folder)?;
        let files = [self.read_file(0)?, self.read_file(1)?];
        let index = usize::from(files[1].number > files[0].number);
        let StoredFile { number, valid_length, .. } = files[index];
        if number == 0 {
            return self.start_file(0, 1);
        }
        let file = OpenOptions::new().write(true).open(self.path(index))?;
        Ok(OpenFile { file, index, number, valid_length })
    }

    /// Appends events. They are durable when this returns.
    ///
    /// # Errors
    /// When the disk is full or fails. Events stored before remain, and the next call tries again.
    pub fn append(&mut self, events: &[Event]) -> io::Result<()> {
        // After a failure the file is opened again at the end of its valid part.
        let mut open_file = match self.open_file.take() {
            Some(open_file) => open_file,
            None => self.open_newest()?,
        };
        if open_file.valid_length > MAX_SIZE / 2 {
            open_file = self.start_file(1 - open_file.index, open_file.number.saturating_add(1))?;
        }
        let mut bytes = Vec::new();
        events.iter().for_each(|event| encode_record(event, &mut bytes));
        open_file.file.set_len(open_file.valid_length)?;
        open_file.file.seek(SeekFrom::Start(open_file.valid_length))?;
        open_file.file.write_all(&bytes)?;
        open_file.file.sync_data()?;
        open_file.valid_length += bytes.len() as u64;
        self.open_file = Some(open_file);
        Ok(())
    }

    /// Events after a position; none if no event of its incarnation is stored. Incarnation 0 is before all
    /// events.
    ///
    /// # Errors
    /// When the disk fails.
    pub fn read(&self, query: &EventQuery) -> io::Result<Option<EventPage>> {
        let mut files = [self.read_file(0)?, self.read_file(1)?];
        files.sort_by_key(|file| file.number);
        let all: Vec<Event> = files.into_iter().flat_map(|file| file.events).collect();
        let after = query.after.unwrap_or_default();
        let same_incarnation = |event: &Event| event.position.incarnation == after.incarnation;
        let begin = match all
            .iter()
            .position(|event| same_incarnation(event) && event.position.number > after.number)
        {
            Some(begin) => begin,
            None if after.incarnation == 0 => 0,
            None => match all.iter().rposition(same_incarnation) {
                Some(last) => last + 1,
                None => return Ok(None),
            },
        };
        let limit = if query.limit == 0 { MAX_PAGE_EVENTS } else { query.limit.min(MAX_PAGE_EVENTS) };
        let mut page = EventPage { position: after, ..EventPage::default() };
        for event in &all[begin..] {
            let FeedPosition { incarnation, number } = event.position;
            // At another incarnation, the last second of the one before and the first events of this one may
            // not have been stored.
            page.missed |= if page.position.incarnation == incarnation {
                number != page.position.number + 1
            } else {
                after.incarnation != 0 || number != 1
            };
            if query.matches(event) {
                if page.events.len() == limit {
                    break;
                }
                page.events.push(event.clone());
            }
            page.position = event.position;
        }
        Ok(Some(page))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use fennelscale_messages::feed::EventKind;

    fn event(incarnation: u64, number: u64) -> Event {
        let (subject, cause) = (format!("r:{}", number % 3), "by hand".to_owned());
        let id = format!("item-chosen/{subject}/{number}");
        Event {
            position: FeedPosition { incarnation, number },
            id,
            kind: EventKind::ItemChosen,
            subject,
            cause,
            at: 0.0,
        }
    }

    fn events(incarnation: u64, numbers: std::ops::RangeInclusive<u64>) -> Vec<Event> {
        numbers.map(|number| event(incarnation, number)).collect()
    }

    fn after(log: &EventLog, incarnation: u64, number: u64) -> Option<EventPage> {
        log.read(&EventQuery { after: Some(FeedPosition { incarnation, number }), ..EventQuery::default() })
            .unwrap()
    }

    /// Reads all pages from a position on.
    fn read_all(log: &EventLog, mut at: FeedPosition) -> (Vec<FeedPosition>, bool) {
        let (mut positions, mut missed) = (Vec::new(), false);
        loop {
            let page = after(log, at.incarnation, at.number).unwrap();
            missed |= page.missed;
            positions.extend(page.events.iter().map(|event| event.position));
            if page.position == at {
                return (positions, missed);
            }
            at = page.position;
        }
    }

    fn positions(incarnation: u64, numbers: std::ops::RangeInclusive<u64>) -> Vec<FeedPosition> {
        numbers.map(|number| FeedPosition { incarnation, number }).collect()
    }

    /// A folder that is deleted at the end of the test.
    struct TempFolder(PathBuf);

    impl TempFolder {
        fn new(name: &str) -> Self {
            Self(std::env::temp_dir().join(format!("diary-{name}-{}", std::process::id())))
        }

        fn event_log(&self) -> EventLog {
            EventLog::new(self.0.clone())
        }
    }

    impl Drop for TempFolder {
        fn drop(&mut self) {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }

    #[test]
    fn a_reader_continues_across_incarnations_and_learns_of_possible_gaps() {
        let folder = TempFolder::new("lives");
        folder.event_log().append(&events(11, 1..=700)).unwrap();
        // The store restarts while the registry keeps running.
        let mut log = folder.event_log();
        log.append(&events(11, 701..=900)).unwrap();
        assert_eq!(
            read_all(&log, FeedPosition { incarnation: 11, number: 5 }),
            (positions(11, 6..=900), false)
        );
        log.append(&events(12, 1..=3)).unwrap();
        let both = [positions(11, 900..=900), positions(12, 1..=3)].concat();
        assert_eq!(
            read_all(&log, FeedPosition { incarnation: 11, number: 899 }),
            (both, true),
            "the last second may be lost"
        );
        assert_eq!(after(&log, 13, 1), None, "an unknown incarnation");
        // A position ahead of the stored events, as after a power loss.
        assert_eq!(read_all(&log, FeedPosition { incarnation: 11, number: 950 }).0, positions(12, 1..=3));
        let query = EventQuery {
            after: Some(FeedPosition::default()),
            subject_prefix: "r:1".into(),
            limit: 7,
            ..EventQuery::default()
        };
        let page = log.read(&query).unwrap().unwrap();
        assert_eq!(
            page.events.iter().map(|e| e.position.number).collect::<Vec<_>>(),
            [1, 4, 7, 10, 13, 16, 19]
        );
    }

    #[test]
    fn the_log_is_bounded_and_holds_the_newest_events() {
        let folder = TempFolder::new("bounds");
        let mut log = folder.event_log();
        for n in (1..=60_000).step_by(200) {
            log.append(&events(1, n..=n + 199)).unwrap();
        }
        let size: u64 = (0..2).map(|n| std::fs::metadata(log.path(n)).unwrap().len()).sum();
        assert!((MAX_SIZE / 2..MAX_SIZE + MAX_SIZE / 4).contains(&size), "{size}");
        let page = after(&log, 1, 3).unwrap();
        assert!(
            page.missed && page.events[0].position.number > 10_000,
            "the reader learns of deleted events"
        );
        assert_eq!(
            read_all(&log, FeedPosition { incarnation: 1, number: 59_000 }),
            (positions(1, 59_001..=60_000), false)
        );
    }

    #[test]
    fn a_torn_end_is_cut_off_and_all_records_before_it_remain() {
        let folder = TempFolder::new("torn");
        let mut bytes = 1_u64.to_le_bytes().to_vec();
        events(1, 1..=4).iter().for_each(|event| encode_record(event, &mut bytes));
        let whole = bytes.len();
        encode_record(&event(1, 5), &mut bytes);
        std::fs::create_dir_all(&folder.0).unwrap();
        for cut in 0..bytes.len() {
            let mut torn = bytes[..cut].to_vec();
            // Part of the last write is present, and the rest is arbitrary.
            torn.resize(bytes.len() + 7, 0xa5);
            std::fs::write(folder.event_log().path(0), &torn).unwrap();
            let mut log = folder.event_log();
            log.append(&events(2, 1..=2)).unwrap();
            let stored = read_all(&log, FeedPosition::default()).0;
            let (before, now) = stored.split_at(stored.len() - 2);
            assert_eq!(now, positions(2, 1..=2), "cut at {cut}");
            assert_eq!(before, &positions(1, 1..=4)[..before.len()]);
            assert!(before.len() == 4 || cut < whole, "cut at {cut}");
        }
    }

    #[test]
    fn a_failed_write_loses_only_its_events() {
        let folder = TempFolder::new("full");
        let mut log = folder.event_log();
        log.append(&events(1, 1..=3)).unwrap();
        // A folder in the place of the other file makes the change of files fail, each time.
        std::fs::create_dir_all(log.path(1)).unwrap();
        log.open_file.as_mut().unwrap().valid_length = MAX_SIZE;
        assert!(log.append(&events(1, 4..=5)).is_err());
        std::fs::remove_dir_all(log.path(1)).unwrap();
        log.append(&events(1, 6..=7)).unwrap();
        let (stored, missed) = read_all(&log, FeedPosition { incarnation: 1, number: 1 });
        assert_eq!((stored, missed), ([positions(1, 2..=3), positions(1, 6..=7)].concat(), true));
    }

    #[test]
    fn the_remains_of_a_failed_write_are_cut_off() {
        let folder = TempFolder::new("behind");
        let mut log = folder.event_log();
        log.append(&events(1, 1..=2)).unwrap();
        // As if the write had failed after all of it was written: the next one replaces it.
        log.open_file.as_mut().unwrap().valid_length = FILE_HEADER_SIZE as u64;
        log.append(&events(2, 1..=1)).unwrap();
        assert_eq!(read_all(&log, FeedPosition::default()).0, positions(2, 1..=1));
    }
}
