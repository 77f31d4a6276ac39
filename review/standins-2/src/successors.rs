//! A region is lost for good and its two core machines get successors in the regions that are left; later one more core
//! machine is lost.

use crate::Verdict;
use crate::deployment::{Deployment, Process, Record, ZONES};
use std::io;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The core machines of the region `koper`.
const REGION: [u8; 2] = [2, 5];
/// Their successors, and the zones in which they join.
const SUCCESSORS: [(u8, usize); 2] = [(6, 0), (7, 1)];
/// The machine that is lost in the end, of `lj-bezigrad`.
const LAST: u8 = 3;
/// `catchUp` is 4 s, `contactWindow` 5 s, `ackTimeout` 8 s.
const CATCH_UP: Duration = Duration::from_secs(12);
const CONTACT_WINDOW: Duration = Duration::from_secs(6);
const READ_FOR: Duration = Duration::from_secs(16);

fn config(revision: u32) -> String {
    format!(
        r#"{{"upsert":{{"backendPools":[{{"name":"s","healthCheckPath":"/health","maxConnections":110,"protocol":"h1","tls":false,"coldStart":"3s","coldPerS":20,"revision":"{revision:08x}"}}]}},"remove":{{}}}}"#
    )
}

pub fn run(record: &Record, trouble: bool) -> io::Result<Verdict> {
    let deployment = Deployment::new(record.clone())?;
    let mut cores: Vec<Option<[Process; 2]>> = Vec::new();
    for core in 0..6 {
        cores.push(Some(deployment.start_core(core, usize::from(core), true)?));
    }
    sleep(Duration::from_secs(8));
    let mut up: Vec<u8> = (0..6).collect();
    let order = |up: &[u8], revision: u32| {
        let (status, took) =
            deployment.order(up, "PATCH", "/fennelscale/config", config(revision).as_bytes(), READ_FOR);
        record.note(format!("version {revision}: last status {status} after {:.1} s", took.as_secs_f64()));
        status
    };
    if order(&up, 1) != 200 {
        return Ok(Verdict::NotRun("the first configuration was not acknowledged".into()));
    }
    if trouble {
        for core in REGION {
            cores[usize::from(core)] = None;
            up.retain(|known| *known != core);
            record.note(format!("core-{core} in {:?} is lost for good", ZONES[usize::from(core)]));
        }
        sleep(Duration::from_secs(2));
        for (core, zone) in SUCCESSORS {
            cores.push(Some(deployment.start_core(core, zone, false)?));
            up.push(core);
            record.note(format!(
                "core-{core} joins in {:?}, at a new address and with an empty disk",
                ZONES[zone]
            ));
        }
    }
    sleep(CATCH_UP);
    if order(&up, 2) != 200 {
        return Ok(Verdict::NotRun("no configuration was acknowledged after the loss of the region".into()));
    }
    cores[usize::from(LAST)] = None;
    up.retain(|known| *known != LAST);
    record.note(format!("core-{LAST} in {:?} is lost", ZONES[usize::from(LAST)]));
    sleep(CONTACT_WINDOW);
    let ended: Vec<String> = cores
        .iter_mut()
        .flatten()
        .flatten()
        .filter_map(|process| process.ended().map(|how| format!("{} {how}", process.name)))
        .collect();
    if !ended.is_empty() {
        return Ok(Verdict::NotRun(format!("ended: {}", ended.join(", "))));
    }
    record.note(format!("core machines {up:?} run; the operator reads back what was acknowledged"));
    let started = Instant::now();
    let (status, _) = deployment.order(&up, "GET", "/fennelscale/config", b"", READ_FOR);
    record.note(format!("read back: last status {status} after {:.1} s", started.elapsed().as_secs_f64()));
    order(&up, 3);
    Ok(if status == 200 { Verdict::Held } else { Verdict::Broken })
}
