use super::*;
use crate::store::Store;
use fennelscale_messages::Host;
use fennelscale_messages::store::{Entry, Stamp, StoreRequest, StoreResponse, Term};
use fennelscale_replication::{Origin, Output, Replica};
use proptest::prelude::*;
use rustix::process::{Resource, Rlimit, Signal, getrlimit, setrlimit};
use std::collections::BTreeMap;

fn writes(round: u64) -> DiskWrites {
    let vows = AcceptorState { promised: Term { number: round, leader: Host(1) }, joined: Term::default() };
    let entry = Entry { revision: round, body: Some("{}".into()), ..Entry::default() };
    let item = Item { chosen: Some(entry), pending: None };
    let progress =
        Progress { position: Stamp { sequence: round, ..Stamp::default() }, ..Progress::default() };
    DiskWrites {
        acceptor: Some(vows),
        progress: Some(progress),
        items: vec![(format!("r:{}", round % 3), item)],
    }
}

#[test]
fn what_was_written_is_there_at_the_next_start() {
    let folder = std::env::temp_dir().join(format!("config-store-{}", std::process::id()));
    let (disk, memory) = Disk::open(&folder, 256_000_000).unwrap();
    assert_eq!(memory, PersistedState::default());
    (1..8).for_each(|round| disk.write(&writes(round)).unwrap());
    drop(disk);
    let (disk, memory) = Disk::open(&folder, 256_000_000).unwrap();
    assert_eq!(memory.acceptor, writes(7).acceptor);
    assert_eq!(memory.items["r:2"], writes(5).items[0].1);
    // A record that does not check out: the whole counts as forgotten, and is kept aside.
    disk.records.insert("r:2", b"torn".as_slice()).unwrap();
    drop(disk);
    let (_, memory) = Disk::open(&folder, 256_000_000).unwrap();
    assert_eq!(memory, PersistedState::default());
    std::fs::remove_dir_all(&folder).unwrap();
}

/// Where the library appends; its other files change only when a table is written or a journal is full.
const APPENDS: &str = "items/0.jnl";

/// All files below a folder and what they hold, without the zeros at their ends, and how long they are.
fn files(folder: &Path) -> BTreeMap<PathBuf, (Vec<u8>, u64)> {
    let (mut open, mut found) = (vec![folder.to_path_buf()], BTreeMap::new());
    while let Some(at) = open.pop() {
        for entry in std::fs::read_dir(at).unwrap().map(Result::unwrap) {
            if entry.file_type().unwrap().is_dir() {
                open.push(entry.path());
                continue;
            }
            let length = entry.metadata().unwrap().len();
            // What is written stands at the begin of a file that was made long at once.
            let mut bytes = Vec::new();
            std::fs::File::open(entry.path()).unwrap().take(1 << 16).read_to_end(&mut bytes).unwrap();
            bytes.truncate(bytes.iter().rposition(|byte| *byte != 0).map_or(0, |at| at + 1));
            let name = entry.path().strip_prefix(folder).unwrap().to_path_buf();
            found.insert(name, (bytes, length));
        }
    }
    found
}

fn lay(folder: &Path, files: &BTreeMap<PathBuf, (Vec<u8>, u64)>) {
    for (name, (bytes, length)) in files {
        let at = folder.join(name);
        std::fs::create_dir_all(at.parent().unwrap()).unwrap();
        write_sparse(&at, bytes, *length).unwrap();
    }
}

/// What a loss of power leaves of the bytes that were written after the last sync; places in thousandths of them.
#[derive(Clone, Debug)]
enum Torn {
    /// The first so many.
    First(usize),
    /// The first so many, then others of the same number.
    Spoilt(usize, u8),
    /// All but so many bytes from there on: something that was not written, behind it what was.
    Hole(usize, usize),
}

impl Torn {
    fn leaves(&self, mut tail: Vec<u8>) -> Vec<u8> {
        let length = tail.len();
        let place = |at: usize| at * length / 1000;
        match *self {
            Self::First(at) => tail.truncate(place(at)),
            Self::Spoilt(at, by) => tail.iter_mut().skip(place(at)).for_each(|byte| *byte ^= by),
            Self::Hole(at, many) => {
                let at = place(at);
                tail.iter_mut().skip(at).take(many).for_each(|byte| *byte = 0);
            }
        }
        tail
    }
}

fn torn() -> impl Strategy<Value = Torn> {
    prop_oneof![
        (0..=1000_usize).prop_map(Torn::First),
        (0..1000_usize, 1..=255_u8).prop_map(|(at, by)| Torn::Spoilt(at, by)),
        (0..1000_usize, 1..30_usize).prop_map(|(at, many)| Torn::Hole(at, many)),
    ]
}

/// The number by which later records go before earlier ones was not written, and all behind it was.
#[test]
fn a_batch_that_lost_its_number_does_not_come_back_in_part() {
    for at in 0..60 {
        let memory = after_a_loss(1, 1, &Torn::Hole(at, 4));
        assert!([1, 2].iter().any(|rounds| memory == state(*rounds)), "{at}: {memory:?}");
    }
}

#[test]
fn files_without_a_digest_are_read_and_have_one_from_then_on() {
    let folder = std::env::temp_dir().join(format!("config-store-before-{}", std::process::id()));
    let (disk, _) = Disk::open(&folder, 256_000_000).unwrap();
    (1..4).for_each(|round| disk.write(&writes(round)).unwrap());
    disk.records.remove(DIGEST).unwrap();
    drop(disk);
    let (disk, memory) = Disk::open(&folder, 256_000_000).unwrap();
    assert_eq!(memory, state(3));
    disk.write(&writes(4)).unwrap();
    // Another state than the digest's, each record of which is whole.
    disk.records.insert("r:0", sealed(&writes(9).items[0].1)).unwrap();
    drop(disk);
    assert!(matches!(Disk::read(&folder.join("items"), 256_000_000), Err(Unreadable::Part)));
    std::fs::remove_dir_all(&folder).unwrap();
}

static RUNS: std::sync::atomic::AtomicUsize = std::sync::atomic::AtomicUsize::new(0);

/// Power is lost after so many synced writes and before the next ones were: what a start finds.
fn after_a_loss(synced: u64, open: u64, torn: &Torn) -> PersistedState {
    let run = RUNS.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let place = std::env::temp_dir().join(format!("config-store-torn-{}-{run}", std::process::id()));
    let (folder, again) = (place.join("before"), place.join("after"));
    let (disk, _) = Disk::open(&folder, 256_000_000).unwrap();
    (1..=synced).for_each(|round| disk.write(&writes(round)).unwrap());
    let mut kept = files(&folder);
    (synced + 1..=synced + open).for_each(|round| disk.write(&writes(round)).unwrap());
    let later = files(&folder);
    let others = |files: &BTreeMap<_, _>| {
        let mut files: BTreeMap<PathBuf, (Vec<u8>, u64)> = files.clone();
        files.remove(Path::new(APPENDS));
        files
    };
    assert_eq!(others(&kept), others(&later), "one file alone is written to");
    drop(disk);
    let (before, now) = (kept[Path::new(APPENDS)].0.len(), &later[Path::new(APPENDS)].0);
    assert!(now.len() > before, "a write comes to the disk");
    let journal = kept.get_mut(Path::new(APPENDS)).unwrap();
    journal.0.extend(torn.leaves(now[before..].to_vec()));
    lay(&again, &kept);
    let (disk, memory) = Disk::open(&again, 256_000_000).unwrap();
    // It is written to again, and that is there as well.
    disk.write(&writes(40)).unwrap();
    drop(disk);
    let (_, next) = Disk::open(&again, 256_000_000).unwrap();
    assert_eq!(next.acceptor, writes(40).acceptor, "{torn:?}");
    std::fs::remove_dir_all(&place).unwrap();
    memory
}

const SYNCED: u64 = 3;

/// Set for the process that [`a_disk_that_is_full_at_any_byte_of_a_write_fails_it_and_takes_nothing_back`] starts: the limit on
/// the length of files is one for all threads of a process.
const ALONE: &str = "DEPOT_FULL_DISK";

/// The longest file that this process may write.
fn limit(most: Option<u64>) {
    let Rlimit { maximum, .. } = getrlimit(Resource::Fsize);
    setrlimit(Resource::Fsize, Rlimit { current: most, maximum }).unwrap();
}

fn full_at_each_byte() {
    let place = std::env::temp_dir().join(format!("config-store-full-{}", std::process::id()));
    let (mut room, mut failed) = (0, 0);
    loop {
        let folder = place.join(room.to_string());
        let (disk, _) = Disk::open(&folder, 256_000_000).unwrap();
        (1..=SYNCED).for_each(|round| disk.write(&writes(round)).unwrap());
        let used = files(&folder)[Path::new(APPENDS)].0.len() as u64;
        limit(Some(used + room));
        let written = disk.write(&writes(SYNCED + 1));
        // The program ends there; what the library does as it goes meets the full disk as well.
        drop(disk);
        limit(None);
        let (disk, memory) = Disk::open(&folder, 256_000_000).unwrap();
        let kept = [SYNCED, SYNCED + 1].into_iter().find(|rounds| memory == state(*rounds));
        assert!(kept.is_some(), "{room} bytes of room: {memory:?}");
        assert!(written.is_err() || kept == Some(SYNCED + 1), "{room} bytes of room: promised and gone");
        disk.write(&writes(40)).unwrap();
        drop(disk);
        assert_eq!(Disk::open(&folder, 256_000_000).unwrap().1.acceptor, writes(40).acceptor, "{room}");
        std::fs::remove_dir_all(&folder).unwrap();
        if written.is_ok() {
            break;
        }
        failed += 1;
        room += 7;
    }
    std::fs::remove_dir_all(&place).unwrap();
    assert!(failed > 5, "{failed} writes met a full disk");
}

/// A process on a full disk: neither a start nor a torn end there makes it forget what the files hold.
fn starts_on_a_full_disk() {
    let place = std::env::temp_dir().join(format!("config-store-starts-full-{}", std::process::id()));
    for torn in [false, true] {
        let folder = place.join(torn.to_string());
        let (disk, _) = Disk::open(&folder, 256_000_000).unwrap();
        (1..=SYNCED).for_each(|round| disk.write(&writes(round)).unwrap());
        drop(disk);
        if torn {
            let journal = folder.join(APPENDS);
            let mut bytes = beginning(&journal).unwrap();
            let length = std::fs::metadata(&journal).unwrap().len();
            bytes.extend([7; 40]);
            write_sparse(&journal, &bytes, length).unwrap();
        }
        limit(Some(0));
        let opened = Disk::open(&folder, 256_000_000).map(|(disk, memory)| {
            let written = disk.write(&writes(SYNCED + 1));
            (written.is_ok(), memory)
        });
        limit(None);
        match opened {
            Err(error) => assert!(matches!(error, OpenError::Failing(_)), "{error}"),
            Ok((written, memory)) => assert_eq!((written, memory), (false, state(SYNCED))),
        }
        assert_eq!(Disk::open(&folder, 256_000_000).unwrap().1, state(SYNCED), "torn {torn}");
    }
    std::fs::remove_dir_all(&place).unwrap();
}

#[test]
fn a_store_that_starts_on_a_full_disk_forgets_nothing() {
    play_alone("disk::tests::a_store_that_starts_on_a_full_disk_forgets_nothing", starts_on_a_full_disk);
}

/// Plays a test in a process of its own, in which whoever writes beyond the limit is told so by an error.
fn play_alone(name: &str, play: fn()) {
    if std::env::var_os(ALONE).is_some() {
        // The signal needs somewhere to go.
        let runtime = tokio::runtime::Builder::new_current_thread().enable_io().build().unwrap();
        let _enter = runtime.enter();
        let beyond = tokio::signal::unix::SignalKind::from_raw(Signal::XFSZ.as_raw());
        let _told = tokio::signal::unix::signal(beyond).unwrap();
        return play();
    }
    let me = std::env::current_exe().unwrap();
    let run = std::process::Command::new(me).args(["--exact", name]).env(ALONE, "1").output().unwrap();
    let said = String::from_utf8_lossy(&run.stdout);
    assert!(run.status.success() && said.contains("1 passed"), "{said}");
}

#[test]
fn a_disk_that_is_full_at_any_byte_of_a_write_fails_it_and_takes_nothing_back() {
    play_alone(
        "disk::tests::a_disk_that_is_full_at_any_byte_of_a_write_fails_it_and_takes_nothing_back",
        full_at_each_byte,
    );
}

/// What the disk held after so many writes.
fn state(rounds: u64) -> PersistedState {
    let mut memory = PersistedState::default();
    (1..=rounds).map(writes).for_each(|writes| memory.apply(writes));
    memory
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, cases: 48, ..ProptestConfig::default() })]
    #[test]
    fn a_loss_of_power_takes_nothing_that_was_synced_and_leaves_no_write_in_part(
        synced in 1..6_u64, open in 1..3_u64, torn in torn(),
    ) {
        let memory = after_a_loss(synced, open, &torn);
        let whole = (synced..=synced + open).any(|rounds| memory == state(rounds));
        prop_assert!(whole, "{synced} and {open}, {torn:?}: {memory:?}");
    }
}

/// A store whose disk takes no writes for a while: it says nothing then, and goes on from what was synced.
fn suspends_and_goes_on() {
    let folder = std::env::temp_dir().join(format!("config-store-suspended-{}", std::process::id()));
    let me = fennelscale_messages::store::Member { host: Host(1), zone: "z".into(), region: "r".into() };
    let place = fennelscale_replication::ReplicaConfig {
        local: me,
        seeds: vec![Host(1)],
        bootstrap: true,
        fault_tolerance: (0, 0, 0),
        incarnation: 1,
    };
    let mut store = Store::open(place, &folder, 256_000_000, 0.0).unwrap();
    let mut now = 0.0;
    // It founds by itself.
    while !store.book().is_some_and(Replica::is_voting) {
        now += 100.0;
        store.with(now, Replica::tick).unwrap();
    }
    let position = store.book().unwrap().position();
    limit(Some(0));
    let note = |store: &mut Store, now: f64, text: &str| {
        let ask = StoreRequest::Note("n".into(), text.into());
        store.with(now, |book, now| book.submit(now, Origin::Registry(1), ask))
    };
    assert!(note(&mut store, now, "lost").is_err(), "a write that does not come to the disk");
    assert!(store.book().is_none());
    assert_eq!(note(&mut store, now, "unheard"), Ok(Vec::new()), "suspended it says nothing");
    assert!(store.reopen(now + 1000.0).is_err());
    limit(None);
    store.reopen(now + 2000.0).unwrap();
    let book = store.book().unwrap();
    assert_eq!((book.position(), book.is_voting(), book.item("m:n")), (position, true, None));
    let outs = note(&mut store, now + 2100.0, "kept").unwrap();
    assert!(outs.contains(&Output::Answer(1, StoreResponse::Done)), "{outs:?}");
    // Another disk in its place, an empty one: the life that was there at the first start founds nothing on it.
    limit(Some(0));
    assert!(note(&mut store, now + 2200.0, "lost").is_err());
    limit(None);
    std::fs::rename(&folder, folder.with_extension("kept")).unwrap();
    store.reopen(now + 3000.0).unwrap();
    for tick in 0..100 {
        store.with(now + 3000.0 + 100.0 * f64::from(tick), Replica::tick).unwrap();
    }
    assert!(!store.book().unwrap().is_voting());
    drop(store);
    std::fs::remove_dir_all(&folder).unwrap();
    std::fs::rename(folder.with_extension("kept"), &folder).unwrap();
    assert!(Disk::open(&folder, 256_000_000).unwrap().1.items.contains_key("m:n"));
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn a_store_whose_disk_is_full_is_suspended_and_goes_on_when_there_is_room() {
    play_alone(
        "disk::tests::a_store_whose_disk_is_full_is_suspended_and_goes_on_when_there_is_room",
        suspends_and_goes_on,
    );
}
