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
fn written_records_are_read_after_a_restart() {
    let folder = std::env::temp_dir().join(format!("config-store-{}", std::process::id()));
    let (disk, state) = Disk::open(&folder, 256_000_000).unwrap();
    assert_eq!(state, PersistedState::default());
    (1..8).for_each(|round| disk.write(&writes(round)).unwrap());
    drop(disk);
    let (disk, state) = Disk::open(&folder, 256_000_000).unwrap();
    assert_eq!(state.acceptor, writes(7).acceptor);
    assert_eq!(state.items["r:2"], writes(5).items[0].1);
    // A corrupt record: the whole state counts as lost, and the files are kept aside.
    disk.records.insert("r:2", b"torn".as_slice()).unwrap();
    drop(disk);
    let (_, state) = Disk::open(&folder, 256_000_000).unwrap();
    assert_eq!(state, PersistedState::default());
    std::fs::remove_dir_all(&folder).unwrap();
}

/// The file to which the library appends. Its other files change only when a table is written or a journal is
/// full.
const ACTIVE_JOURNAL: &str = "items/0.jnl";

/// All files below a folder: their contents without the zeros at the end, and their lengths.
fn files(folder: &Path) -> BTreeMap<PathBuf, (Vec<u8>, u64)> {
    let (mut open, mut found) = (vec![folder.to_path_buf()], BTreeMap::new());
    while let Some(at) = open.pop() {
        for entry in std::fs::read_dir(at).unwrap().map(Result::unwrap) {
            if entry.file_type().unwrap().is_dir() {
                open.push(entry.path());
                continue;
            }
            let length = entry.metadata().unwrap().len();
            // The written part is at the beginning of a preallocated file.
            let mut bytes = Vec::new();
            std::fs::File::open(entry.path()).unwrap().take(1 << 16).read_to_end(&mut bytes).unwrap();
            bytes.truncate(bytes.iter().rposition(|byte| *byte != 0).map_or(0, |at| at + 1));
            let name = entry.path().strip_prefix(folder).unwrap().to_path_buf();
            found.insert(name, (bytes, length));
        }
    }
    found
}

fn write_files(folder: &Path, files: &BTreeMap<PathBuf, (Vec<u8>, u64)>) {
    for (name, (bytes, length)) in files {
        let at = folder.join(name);
        std::fs::create_dir_all(at.parent().unwrap()).unwrap();
        write_sparse(&at, bytes, *length).unwrap();
    }
}

/// What a power loss leaves of the bytes written after the last sync. Offsets are in thousandths of them.
#[derive(Clone, Debug)]
enum TornTail {
    /// Only the bytes before an offset.
    First(usize),
    /// The bytes before an offset, then as many garbled bytes as there were.
    Garbled(usize, u8),
    /// All bytes except some from an offset on: these were not written, while those after them were.
    Hole(usize, usize),
}

impl TornTail {
    fn apply(&self, mut tail: Vec<u8>) -> Vec<u8> {
        let length = tail.len();
        let offset = |at: usize| at * length / 1000;
        match *self {
            Self::First(at) => tail.truncate(offset(at)),
            Self::Garbled(at, by) => tail.iter_mut().skip(offset(at)).for_each(|byte| *byte ^= by),
            Self::Hole(at, many) => {
                let at = offset(at);
                tail.iter_mut().skip(at).take(many).for_each(|byte| *byte = 0);
            }
        }
        tail
    }
}

fn any_tail() -> impl Strategy<Value = TornTail> {
    prop_oneof![
        (0..=1000_usize).prop_map(TornTail::First),
        (0..1000_usize, 1..=255_u8).prop_map(|(at, by)| TornTail::Garbled(at, by)),
        (0..1000_usize, 1..30_usize).prop_map(|(at, many)| TornTail::Hole(at, many)),
    ]
}

/// The sequence number by which later records take precedence was not written, and everything after it was.
#[test]
fn a_batch_that_lost_its_sequence_number_is_not_partly_restored() {
    for at in 0..60 {
        let state = state_after_power_loss(1, 1, &TornTail::Hole(at, 4));
        assert!([1, 2].iter().any(|rounds| state == expected_state(*rounds)), "{at}: {state:?}");
    }
}

#[test]
fn files_without_a_digest_are_read_and_get_one_with_the_next_write() {
    let folder = std::env::temp_dir().join(format!("config-store-before-{}", std::process::id()));
    let (disk, _) = Disk::open(&folder, 256_000_000).unwrap();
    (1..4).for_each(|round| disk.write(&writes(round)).unwrap());
    disk.records.remove(DIGEST_KEY).unwrap();
    drop(disk);
    let (disk, state) = Disk::open(&folder, 256_000_000).unwrap();
    assert_eq!(state, expected_state(3));
    disk.write(&writes(4)).unwrap();
    // A state that does not match the digest, although each record is valid.
    disk.records.insert("r:0", encode_record(&writes(9).items[0].1)).unwrap();
    drop(disk);
    assert!(matches!(Disk::read(&folder.join("items"), 256_000_000), Err(ReadError::PartialWrite)));
    std::fs::remove_dir_all(&folder).unwrap();
}

static NEXT_RUN: std::sync::atomic::AtomicUsize = std::sync::atomic::AtomicUsize::new(0);

/// The state that a start finds after a power loss that follows some synced writes and some that were not
/// synced.
fn state_after_power_loss(synced: u64, open: u64, torn: &TornTail) -> PersistedState {
    let run = NEXT_RUN.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let base = std::env::temp_dir().join(format!("config-store-torn-{}-{run}", std::process::id()));
    let (folder, again) = (base.join("before"), base.join("after"));
    let (disk, _) = Disk::open(&folder, 256_000_000).unwrap();
    (1..=synced).for_each(|round| disk.write(&writes(round)).unwrap());
    let mut kept = files(&folder);
    (synced + 1..=synced + open).for_each(|round| disk.write(&writes(round)).unwrap());
    let later = files(&folder);
    let others = |files: &BTreeMap<_, _>| {
        let mut files: BTreeMap<PathBuf, (Vec<u8>, u64)> = files.clone();
        files.remove(Path::new(ACTIVE_JOURNAL));
        files
    };
    assert_eq!(others(&kept), others(&later), "only one file is written");
    drop(disk);
    let (before, now) = (kept[Path::new(ACTIVE_JOURNAL)].0.len(), &later[Path::new(ACTIVE_JOURNAL)].0);
    assert!(now.len() > before, "a write reaches the disk");
    let journal = kept.get_mut(Path::new(ACTIVE_JOURNAL)).unwrap();
    journal.0.extend(torn.apply(now[before..].to_vec()));
    write_files(&again, &kept);
    let (disk, state) = Disk::open(&again, 256_000_000).unwrap();
    // The files can be written again, and that write persists as well.
    disk.write(&writes(40)).unwrap();
    drop(disk);
    let (_, next) = Disk::open(&again, 256_000_000).unwrap();
    assert_eq!(next.acceptor, writes(40).acceptor, "{torn:?}");
    std::fs::remove_dir_all(&base).unwrap();
    state
}

const SYNCED: u64 = 3;

/// Set in the processes that run single tests: the limit on the length of files applies to all threads of a
/// process.
const FILE_LIMIT_TEST: &str = "DEPOT_FULL_DISK";

/// Limits the length of the files that this process may write.
fn limit_file_size(max_size: Option<u64>) {
    let Rlimit { maximum, .. } = getrlimit(Resource::Fsize);
    setrlimit(Resource::Fsize, Rlimit { current: max_size, maximum }).unwrap();
}

fn disk_full_at_any_byte() {
    let base = std::env::temp_dir().join(format!("config-store-full-{}", std::process::id()));
    let (mut room, mut failed) = (0, 0);
    loop {
        let folder = base.join(room.to_string());
        let (disk, _) = Disk::open(&folder, 256_000_000).unwrap();
        (1..=SYNCED).for_each(|round| disk.write(&writes(round)).unwrap());
        let used = files(&folder)[Path::new(ACTIVE_JOURNAL)].0.len() as u64;
        limit_file_size(Some(used + room));
        let written = disk.write(&writes(SYNCED + 1));
        // The process would end here; what the library does on closing meets the full disk as well.
        drop(disk);
        limit_file_size(None);
        let (disk, state) = Disk::open(&folder, 256_000_000).unwrap();
        let kept = [SYNCED, SYNCED + 1].into_iter().find(|rounds| state == expected_state(*rounds));
        assert!(kept.is_some(), "{room} bytes of room: {state:?}");
        assert!(written.is_err() || kept == Some(SYNCED + 1), "{room} bytes of room: promised and lost");
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
    std::fs::remove_dir_all(&base).unwrap();
    assert!(failed > 5, "only {failed} writes met a full disk");
}

/// Neither a start on a full disk nor a torn write found there makes the store forget what the files hold.
fn start_on_full_disk() {
    let base = std::env::temp_dir().join(format!("config-store-starts-full-{}", std::process::id()));
    for torn in [false, true] {
        let folder = base.join(torn.to_string());
        let (disk, _) = Disk::open(&folder, 256_000_000).unwrap();
        (1..=SYNCED).for_each(|round| disk.write(&writes(round)).unwrap());
        drop(disk);
        if torn {
            let journal = folder.join(ACTIVE_JOURNAL);
            let mut bytes = used_part(&journal).unwrap();
            let length = std::fs::metadata(&journal).unwrap().len();
            bytes.extend([7; 40]);
            write_sparse(&journal, &bytes, length).unwrap();
        }
        limit_file_size(Some(0));
        let opened = Disk::open(&folder, 256_000_000).map(|(disk, state)| {
            let written = disk.write(&writes(SYNCED + 1));
            (written.is_ok(), state)
        });
        limit_file_size(None);
        match opened {
            Err(error) => assert!(matches!(error, OpenError::Failing(_)), "{error}"),
            Ok((written, state)) => assert_eq!((written, state), (false, expected_state(SYNCED))),
        }
        assert_eq!(Disk::open(&folder, 256_000_000).unwrap().1, expected_state(SYNCED), "torn {torn}");
    }
    std::fs::remove_dir_all(&base).unwrap();
}

#[test]
fn a_store_that_starts_on_a_full_disk_keeps_its_state() {
    run_in_own_process("disk::tests::a_store_that_starts_on_a_full_disk_keeps_its_state", start_on_full_disk);
}

/// Runs a test in its own process, in which a write beyond the limit returns an error instead of ending the
/// process.
fn run_in_own_process(name: &str, play: fn()) {
    if std::env::var_os(FILE_LIMIT_TEST).is_some() {
        // Without a handler, SIGXFSZ would end the process.
        let runtime = tokio::runtime::Builder::new_current_thread().enable_io().build().unwrap();
        let _enter = runtime.enter();
        let beyond = tokio::signal::unix::SignalKind::from_raw(Signal::XFSZ.as_raw());
        let _told = tokio::signal::unix::signal(beyond).unwrap();
        return play();
    }
    let executable = std::env::current_exe().unwrap();
    let run = std::process::Command::new(executable)
        .args(["--exact", name])
        .env(FILE_LIMIT_TEST, "1")
        .output()
        .unwrap();
    let said = String::from_utf8_lossy(&run.stdout);
    assert!(run.status.success() && said.contains("1 passed"), "{said}");
}

#[test]
fn a_write_that_meets_a_full_disk_at_any_byte_fails_without_losing_earlier_writes() {
    run_in_own_process(
        "disk::tests::a_write_that_meets_a_full_disk_at_any_byte_fails_without_losing_earlier_writes",
        disk_full_at_any_byte,
    );
}

/// The state after a number of writes.
fn expected_state(rounds: u64) -> PersistedState {
    let mut state = PersistedState::default();
    (1..=rounds).map(writes).for_each(|writes| state.apply(writes));
    state
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, cases: 48, ..ProptestConfig::default() })]
    #[test]
    fn a_power_loss_loses_no_synced_write_and_leaves_no_partial_write(
        synced in 1..6_u64, open in 1..3_u64, torn in any_tail(),
    ) {
        let state = state_after_power_loss(synced, open, &torn);
        let whole = (synced..=synced + open).any(|rounds| state == expected_state(rounds));
        prop_assert!(whole, "{synced} and {open}, {torn:?}: {state:?}");
    }
}

/// A store whose disk fails writes for a while is silent then, and continues from its synced state.
fn suspend_and_resume() {
    let folder = std::env::temp_dir().join(format!("config-store-suspended-{}", std::process::id()));
    let local = fennelscale_messages::store::Member { host: Host(1), zone: "z".into(), region: "r".into() };
    let config = fennelscale_replication::ReplicaConfig {
        local,
        seeds: vec![Host(1)],
        bootstrap: true,
        fault_tolerance: (0, 0, 0),
        incarnation: 1,
    };
    let mut store = Store::open(config, &folder, 256_000_000, 0.0).unwrap();
    let mut now = 0.0;
    // It bootstraps by itself.
    while !store.replica().is_some_and(Replica::is_voting) {
        now += 100.0;
        store.step(now, Replica::tick).unwrap();
    }
    let position = store.replica().unwrap().position();
    limit_file_size(Some(0));
    let note = |store: &mut Store, now: f64, text: &str| {
        let ask = StoreRequest::Note("n".into(), text.into());
        store.step(now, |replica, now| replica.submit(now, Origin::Registry(1), ask))
    };
    assert!(note(&mut store, now, "lost").is_err(), "a write that does not reach the disk");
    assert!(store.replica().is_none());
    assert_eq!(note(&mut store, now, "unheard"), Ok(Vec::new()), "a suspended store is silent");
    assert!(store.reopen(now + 1000.0).is_err());
    limit_file_size(None);
    store.reopen(now + 2000.0).unwrap();
    let replica = store.replica().unwrap();
    assert_eq!((replica.position(), replica.is_voting(), replica.item("m:n")), (position, true, None));
    let outs = note(&mut store, now + 2100.0, "kept").unwrap();
    assert!(outs.contains(&Output::Answer(1, StoreResponse::Done)), "{outs:?}");
    // An empty disk replaces it: the process of the first start does not bootstrap on it again.
    limit_file_size(Some(0));
    assert!(note(&mut store, now + 2200.0, "lost").is_err());
    limit_file_size(None);
    std::fs::rename(&folder, folder.with_extension("kept")).unwrap();
    store.reopen(now + 3000.0).unwrap();
    for tick in 0..100 {
        store.step(now + 3000.0 + 100.0 * f64::from(tick), Replica::tick).unwrap();
    }
    assert!(!store.replica().unwrap().is_voting());
    drop(store);
    std::fs::remove_dir_all(&folder).unwrap();
    std::fs::rename(folder.with_extension("kept"), &folder).unwrap();
    assert!(Disk::open(&folder, 256_000_000).unwrap().1.items.contains_key("m:n"));
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn a_store_on_a_full_disk_is_suspended_and_resumes_when_there_is_space() {
    run_in_own_process(
        "disk::tests::a_store_on_a_full_disk_is_suspended_and_resumes_when_there_is_space",
        suspend_and_resume,
    );
}
