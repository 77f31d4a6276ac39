//! Events that this machine's registry has given to be kept: readers that come after its life find them here.
//!
//! Two plain files, written in turn, each of half the room: when one is full the other begins anew, so that between half and all of
//! the last [`ROOM`] bytes are there. Not the store's database: a write that fails (a full disk) spoils that, and the store would
//! have to end for the sake of events; and one of its own would take its library's least journal, a quarter of the disk.
//!
//! A file is a number that counts up with each beginning, then records: length, check sum, event. What comes in one batch is written
//! and synced together. A record that does not check out ends its file; what stands behind it is cut off before the next is
//! written.

use fennelscale_messages::feed::{Event, EventPage, EventQuery, FeedPosition};
use std::fs::{File, OpenOptions};
use std::io::{self, Read as _, Seek as _, SeekFrom, Write as _};
use std::path::PathBuf;

/// Both files together.
const ROOM: u64 = 2 << 20;
/// Events in one page at most.
const PAGE: usize = 500;
/// Before a record: its length and its check sum.
const HEAD: usize = 12;
/// Before all records: the file's number.
const NUMBER: usize = 8;

/// The kept events.
pub struct Diary {
    folder: PathBuf,
    writing: Option<Writing>,
}

/// The file that is written.
struct Writing {
    file: File,
    which: usize,
    number: u64,
    /// So far it checks out.
    good: u64,
}

fn record(event: &Event, bytes: &mut Vec<u8>) {
    let body = bitcode::encode(event);
    bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&fennelscale_messages::hash(&body).to_le_bytes());
    bytes.extend_from_slice(&body);
}

/// The first record of some bytes, and how long it is; none where none checks out.
fn first(bytes: &[u8]) -> Option<(Event, usize)> {
    let (head, rest) = bytes.split_at_checked(HEAD)?;
    let (length, sum) = head.split_at(4);
    let length = u32::from_le_bytes(length.try_into().ok()?) as usize;
    let body = rest.get(..length)?;
    let right = fennelscale_messages::hash(body).to_le_bytes() == sum;
    Some((bitcode::decode(body).ok().filter(|_| right)?, HEAD + length))
}

/// A file's number and its records, as far as they check out.
struct Kept {
    number: u64,
    events: Vec<Event>,
    good: u64,
}

impl Diary {
    /// The events of a folder; nothing is read or written yet.
    pub fn new(folder: PathBuf) -> Self {
        Self { folder, writing: None }
    }

    fn path(&self, which: usize) -> PathBuf {
        self.folder.join(which.to_string())
    }

    fn kept(&self, which: usize) -> io::Result<Kept> {
        let mut bytes = Vec::new();
        match File::open(self.path(which)) {
            Ok(file) => drop(file.take(ROOM).read_to_end(&mut bytes)?),
            Err(error) if error.kind() == io::ErrorKind::NotFound => {}
            Err(error) => return Err(error),
        }
        let mut kept = Kept { number: 0, events: Vec::new(), good: 0 };
        if let Some(number) = bytes.get(..NUMBER).and_then(|bytes| bytes.try_into().ok()) {
            (kept.number, kept.good) = (u64::from_le_bytes(number), NUMBER as u64);
        }
        while let Some((event, length)) = first(bytes.get(kept.good as usize..).unwrap_or_default()) {
            kept.events.push(event);
            kept.good += length as u64;
        }
        Ok(kept)
    }

    /// Begins a file anew.
    fn begin(&self, which: usize, number: u64) -> io::Result<Writing> {
        let mut file = OpenOptions::new().create(true).write(true).truncate(true).open(self.path(which))?;
        file.write_all(&number.to_le_bytes())?;
        file.sync_all()?;
        Ok(Writing { file, which, number, good: NUMBER as u64 })
    }

    /// The file that is to be written, its end where it checks out.
    fn open(&self) -> io::Result<Writing> {
        std::fs::create_dir_all(&self.folder)?;
        let files = [self.kept(0)?, self.kept(1)?];
        let which = usize::from(files[1].number > files[0].number);
        let Kept { number, good, .. } = files[which];
        if number == 0 {
            return self.begin(0, 1);
        }
        let file = OpenOptions::new().write(true).open(self.path(which))?;
        Ok(Writing { file, which, number, good })
    }

    /// Keeps events. They are safe when this returns.
    ///
    /// # Errors
    /// When the disk is full or fails. What was kept before stays, and the next call tries anew.
    pub fn keep(&mut self, events: &[Event]) -> io::Result<()> {
        // After a failure the file is opened again, and its end found by what checks out.
        let mut writing = match self.writing.take() {
            Some(writing) => writing,
            None => self.open()?,
        };
        if writing.good > ROOM / 2 {
            writing = self.begin(1 - writing.which, writing.number.saturating_add(1))?;
        }
        let mut bytes = Vec::new();
        events.iter().for_each(|event| record(event, &mut bytes));
        writing.file.set_len(writing.good)?;
        writing.file.seek(SeekFrom::Start(writing.good))?;
        writing.file.write_all(&bytes)?;
        writing.file.sync_data()?;
        writing.good += bytes.len() as u64;
        self.writing = Some(writing);
        Ok(())
    }

    /// Events after a place; none if that place is of no life that is kept. Life 0 is before all.
    ///
    /// # Errors
    /// When the disk fails.
    pub fn read(&self, wanted: &EventQuery) -> io::Result<Option<EventPage>> {
        let mut files = [self.kept(0)?, self.kept(1)?];
        files.sort_by_key(|file| file.number);
        let all: Vec<Event> = files.into_iter().flat_map(|file| file.events).collect();
        let after = wanted.after.unwrap_or_default();
        let of = |event: &Event| event.position.incarnation == after.incarnation;
        let begin = match all.iter().position(|event| of(event) && event.position.number > after.number) {
            Some(begin) => begin,
            None if after.incarnation == 0 => 0,
            None => match all.iter().rposition(of) {
                Some(last) => last + 1,
                None => return Ok(None),
            },
        };
        let most = if wanted.limit == 0 { PAGE } else { wanted.limit.min(PAGE) };
        let mut told = EventPage { position: after, ..EventPage::default() };
        for event in &all[begin..] {
            let FeedPosition { incarnation: life, number } = event.position;
            // Another life: the last second of the one before may not have been kept, nor the first events of this one.
            told.missed |= if told.position.incarnation == life {
                number != told.position.number + 1
            } else {
                after.incarnation != 0 || number != 1
            };
            if wanted.matches(event) {
                if told.events.len() == most {
                    break;
                }
                told.events.push(event.clone());
            }
            told.position = event.position;
        }
        Ok(Some(told))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use fennelscale_messages::feed::EventKind;

    fn event(life: u64, number: u64) -> Event {
        let (what, cause) = (format!("r:{}", number % 3), "by hand".to_owned());
        let id = format!("item-chosen/{what}/{number}");
        Event {
            position: FeedPosition { incarnation: life, number },
            id,
            kind: EventKind::ItemChosen,
            subject: what,
            cause,
            at: 0.0,
        }
    }

    fn events(life: u64, numbers: std::ops::RangeInclusive<u64>) -> Vec<Event> {
        numbers.map(|number| event(life, number)).collect()
    }

    fn after(diary: &Diary, life: u64, number: u64) -> Option<EventPage> {
        diary
            .read(&EventQuery {
                after: Some(FeedPosition { incarnation: life, number }),
                ..EventQuery::default()
            })
            .unwrap()
    }

    /// Reads on until there is nothing more.
    fn all(diary: &Diary, mut at: FeedPosition) -> (Vec<FeedPosition>, bool) {
        let (mut places, mut missed) = (Vec::new(), false);
        loop {
            let told = after(diary, at.incarnation, at.number).unwrap();
            missed |= told.missed;
            places.extend(told.events.iter().map(|event| event.position));
            if told.position == at {
                return (places, missed);
            }
            at = told.position;
        }
    }

    fn places(life: u64, numbers: std::ops::RangeInclusive<u64>) -> Vec<FeedPosition> {
        numbers.map(|number| FeedPosition { incarnation: life, number }).collect()
    }

    /// A folder of its own, gone at the end.
    struct Folder(PathBuf);

    impl Folder {
        fn new(name: &str) -> Self {
            Self(std::env::temp_dir().join(format!("diary-{name}-{}", std::process::id())))
        }

        fn diary(&self) -> Diary {
            Diary::new(self.0.clone())
        }
    }

    impl Drop for Folder {
        fn drop(&mut self) {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }

    #[test]
    fn a_reader_goes_on_over_the_ends_of_lives_and_is_told_of_them() {
        let folder = Folder::new("lives");
        folder.diary().keep(&events(11, 1..=700)).unwrap();
        // The store starts again beside a registry that lives on.
        let mut diary = folder.diary();
        diary.keep(&events(11, 701..=900)).unwrap();
        assert_eq!(all(&diary, FeedPosition { incarnation: 11, number: 5 }), (places(11, 6..=900), false));
        diary.keep(&events(12, 1..=3)).unwrap();
        let both = [places(11, 900..=900), places(12, 1..=3)].concat();
        assert_eq!(
            all(&diary, FeedPosition { incarnation: 11, number: 899 }),
            (both, true),
            "the last second may be lost"
        );
        assert_eq!(after(&diary, 13, 1), None, "nobody's life");
        // A place ahead of what was kept, as after a loss of power.
        assert_eq!(all(&diary, FeedPosition { incarnation: 11, number: 950 }).0, places(12, 1..=3));
        let wanted = EventQuery {
            after: Some(FeedPosition::default()),
            subject_prefix: "r:1".into(),
            limit: 7,
            ..EventQuery::default()
        };
        let told = diary.read(&wanted).unwrap().unwrap();
        assert_eq!(
            told.events.iter().map(|e| e.position.number).collect::<Vec<_>>(),
            [1, 4, 7, 10, 13, 16, 19]
        );
    }

    #[test]
    fn what_is_kept_is_bounded_and_the_last_of_it_is_there() {
        let folder = Folder::new("bounds");
        let mut diary = folder.diary();
        for n in (1..=60_000).step_by(200) {
            diary.keep(&events(1, n..=n + 199)).unwrap();
        }
        let size: u64 = (0..2).map(|n| std::fs::metadata(diary.path(n)).unwrap().len()).sum();
        assert!((ROOM / 2..ROOM + ROOM / 4).contains(&size), "{size}");
        let told = after(&diary, 1, 3).unwrap();
        assert!(told.missed && told.events[0].position.number > 10_000, "it is told of what is gone");
        assert_eq!(
            all(&diary, FeedPosition { incarnation: 1, number: 59_000 }),
            (places(1, 59_001..=60_000), false)
        );
    }

    #[test]
    fn a_torn_end_is_cut_off_and_all_before_it_stays() {
        let folder = Folder::new("torn");
        let mut bytes = 1_u64.to_le_bytes().to_vec();
        events(1, 1..=4).iter().for_each(|event| record(event, &mut bytes));
        let whole = bytes.len();
        record(&event(1, 5), &mut bytes);
        std::fs::create_dir_all(&folder.0).unwrap();
        for cut in 0..bytes.len() {
            let mut torn = bytes[..cut].to_vec();
            // Of what came last, some is there and the rest is anything.
            torn.resize(bytes.len() + 7, 0xa5);
            std::fs::write(folder.diary().path(0), &torn).unwrap();
            let mut diary = folder.diary();
            diary.keep(&events(2, 1..=2)).unwrap();
            let kept = all(&diary, FeedPosition::default()).0;
            let (before, now) = kept.split_at(kept.len() - 2);
            assert_eq!(now, places(2, 1..=2), "cut at {cut}");
            assert_eq!(before, &places(1, 1..=4)[..before.len()]);
            assert!(before.len() == 4 || cut < whole, "cut at {cut}");
        }
    }

    #[test]
    fn a_disk_that_fails_costs_events_and_nothing_else() {
        let folder = Folder::new("full");
        let mut diary = folder.diary();
        diary.keep(&events(1, 1..=3)).unwrap();
        // The place of the other file cannot be written: the turn fails, again and again.
        std::fs::create_dir_all(diary.path(1)).unwrap();
        diary.writing.as_mut().unwrap().good = ROOM;
        assert!(diary.keep(&events(1, 4..=5)).is_err());
        std::fs::remove_dir_all(diary.path(1)).unwrap();
        diary.keep(&events(1, 6..=7)).unwrap();
        let (kept, missed) = all(&diary, FeedPosition { incarnation: 1, number: 1 });
        assert_eq!((kept, missed), ([places(1, 2..=3), places(1, 6..=7)].concat(), true));
    }

    #[test]
    fn what_a_failed_write_left_behind_is_cut_off() {
        let folder = Folder::new("behind");
        let mut diary = folder.diary();
        diary.keep(&events(1, 1..=2)).unwrap();
        // As if that had failed after all of it was written: the next one stands in its place.
        diary.writing.as_mut().unwrap().good = NUMBER as u64;
        diary.keep(&events(2, 1..=1)).unwrap();
        assert_eq!(all(&diary, FeedPosition::default()).0, places(2, 1..=1));
    }
}
