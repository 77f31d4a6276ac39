//! Random schedules against a host that keeps its own books: the budget, the reserve, who may be evicted, and that each
//! connection ends in one stated way and leaves nothing behind.

mod helper;

use fennelscale_admission::admission::{Action, Admission, Room};
use fennelscale_admission::{Id, Time};
use helper::{at, ip, settings};
use proptest::prelude::*;
use std::collections::HashMap;
use std::net::IpAddr;

const ROOM: Room = Room { clients: 9, held: 4, lingering: 2 };
const RULES: &str = "
[admission]
addresses = 4
strangers = \"40/s\"
strangers-burst = 12
[admission.caps]
open = 4
rate = \"20/s\"
burst = 8
site-times = 2
[admission.known]
clients = 3
half-life = \"2s\"
[[admission.tier]]
name = \"office\"
networks = [\"192.0.2.0/30\"]
caps = { open = 8, rate = \"50/s\", burst = 20 }
[[admission.proxy]]
networks = [\"10.0.0.0/30\"]
header = \"proxy-protocol\"
open = 3
[[admission.proxy]]
networks = [\"10.0.1.0/30\"]
header = \"forwarded\"
open = 3
";
/// Clients, a site's clients, a tier's, proxies.
const ADDRESSES: [&str; 10] = [
    "198.51.100.1",
    "198.51.100.2",
    "2001:db8:1:1::1",
    "2001:db8:1:2::1",
    "2001:db8:2::1",
    "192.0.2.1",
    "192.0.2.2",
    "10.0.0.1",
    "10.0.0.2",
    "10.0.1.1",
];
const DIRECT: usize = 7;

#[derive(Clone, Debug)]
enum Step {
    Connect(usize),
    Identify(usize, usize),
    Ride(usize, usize),
    Begin(usize),
    Take(usize),
    Answer(usize, bool),
    Close(usize),
    Exhaust,
    Pass(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..ADDRESSES.len()).prop_map(Step::Connect),
        2 => (any::<usize>(), 0..DIRECT).prop_map(|(n, a)| Step::Identify(n, a)),
        1 => (any::<usize>(), 0..DIRECT).prop_map(|(n, a)| Step::Ride(n, a)),
        2 => any::<usize>().prop_map(Step::Begin),
        4 => any::<usize>().prop_map(Step::Take),
        4 => (any::<usize>(), any::<bool>()).prop_map(|(n, served)| Step::Answer(n, served)),
        3 => any::<usize>().prop_map(Step::Close),
        1 => Just(Step::Exhaust),
        3 => (0..400_u64).prop_map(Step::Pass),
    ]
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Where {
    Unnamed,
    Held(Time),
    Idle,
    Busy,
    Leaving,
    Refused,
}

/// A host that believes nothing.
struct Host {
    admission: Admission,
    now: Time,
    all: HashMap<Id, (Where, IpAddr)>,
    ended: HashMap<Id, u32>,
}

impl Host {
    /// What was allowed to a client.
    fn cap(of: IpAddr) -> u64 {
        if ip("192.0.2.1") == of || ip("192.0.2.2") == of { 8 } else { 4 }
    }

    fn load(&self, of: IpAddr) -> u64 {
        if ip("10.0.1.1") == of {
            let open = self.all.values().filter(|(w, a)| *a == of && *w != Where::Refused).count();
            return open as u64 * 1_000_000 / 3;
        }
        u64::from(self.admission.open_of(of)) * 1_000_000 / Self::cap(of)
    }

    /// Carries actions out as a host would; `comes` is whose connection brought them about.
    fn carry_out(&mut self, out: Vec<Action>, comes: Option<IpAddr>, exhausted: bool) {
        for action in out {
            match action {
                Action::Identify(id) => assert_eq!(self.all[&id].0, Where::Unnamed),
                Action::Admit(id) => {
                    let (at, from) = self.all[&id];
                    assert!(matches!(at, Where::Unnamed | Where::Held(_)), "{at:?}");
                    self.all.insert(id, (Where::Idle, from));
                }
                Action::Refuse(id, ..) => {
                    let (at, from) = self.all[&id];
                    assert!(matches!(at, Where::Unnamed | Where::Held(_)), "{at:?}");
                    self.all.insert(id, (Where::Refused, from));
                }
                Action::Evict(id) => {
                    let (at, from) = self.all[&id];
                    assert_eq!(at, Where::Idle, "only idle ones are asked to leave, and once");
                    if !exhausted && comes.is_some_and(|comes| comes != from) {
                        let comes = comes.map_or(0, |comes| self.load(comes));
                        assert!(
                            self.load(from) >= comes,
                            "one that holds less makes room for one that holds more"
                        );
                    }
                    self.all.insert(id, (Where::Leaving, from));
                }
            }
        }
        self.check();
    }

    fn check(&self) {
        let count = |what: fn(&Where) -> bool| self.all.values().filter(|(w, _)| what(w)).count();
        let admitted = count(|w| matches!(w, Where::Idle | Where::Busy | Where::Leaving));
        assert!(admitted <= ROOM.clients, "{admitted} admitted");
        assert_eq!(admitted, self.admission.admitted().iter().sum::<usize>());
        let waiting = count(|w| matches!(w, Where::Unnamed | Where::Held(_)));
        assert!(waiting <= ROOM.held, "{waiting} wait");
        let (held, lingering) = self.admission.waiting();
        assert_eq!(held, waiting);
        assert!(lingering <= ROOM.lingering, "{lingering} linger");
        for (at, _) in self.all.values() {
            if let Where::Held(since) = at {
                assert!(self.now <= *since + at_most(), "held since {since:?}, now {:?}", self.now);
            }
        }
        for address in ADDRESSES.iter().map(|a| ip(a)).filter(|a| !a.to_string().starts_with("10.")) {
            assert!(u64::from(self.admission.open_of(address)) <= Self::cap(address), "{address}");
        }
    }

    fn pick(&self, n: usize, fits: impl Fn(&Where) -> bool) -> Option<Id> {
        let mut ids: Vec<Id> = self.all.iter().filter(|(_, (w, _))| fits(w)).map(|(id, _)| *id).collect();
        ids.sort_unstable();
        (!ids.is_empty()).then(|| ids[n % ids.len()])
    }

    /// Whether a stranger or a known client was admitted beyond its part.
    fn admitted_within_parts(&self, before: [usize; 2], out: &[Action]) {
        let parts = self.admission.parts(self.admission.clients_now(self.now));
        let after = self.admission.admitted();
        if out.iter().any(|a| matches!(a, Action::Admit(_))) {
            for class in 0..2 {
                assert!(after[class] <= before[class].max(parts[class]), "{before:?} {after:?} {parts:?}");
            }
        }
    }

    fn run(&mut self, step: &Step) {
        let mut out = Vec::new();
        let before = self.admission.admitted();
        match *step {
            Step::Connect(n) => {
                let from = ip(ADDRESSES[n]);
                let id = self.admission.connected(self.now, from, &mut out);
                self.all.insert(id, (Where::Unnamed, from));
                self.settle(id, &out);
                self.admitted_within_parts(before, &out);
                return self.carry_out(out, Some(from), false);
            }
            Step::Identify(n, address) => {
                let Some(id) = self.pick(n, |w| *w == Where::Unnamed) else { return };
                let from = ip(ADDRESSES[address]);
                self.admission.identified(self.now, id, from, &mut out);
                self.all.insert(id, (Where::Unnamed, from));
                self.settle(id, &out);
                self.admitted_within_parts(before, &out);
                return self.carry_out(out, Some(from), false);
            }
            Step::Ride(n, address) => {
                if let Some(id) =
                    self.pick(n, |w| *w == Where::Idle).filter(|id| self.admission.shared(*id).is_some())
                {
                    let _ = self.admission.rides(self.now, id, ip(ADDRESSES[address]));
                }
            }
            Step::Begin(n) => {
                if let Some(id) = self.pick(n, |w| *w == Where::Idle) {
                    self.admission.began(self.now, id);
                }
            }
            Step::Take(n) => {
                if let Some(id) = self.pick(n, |w| *w == Where::Idle) {
                    self.admission.taken(id);
                    let from = self.all[&id].1;
                    self.all.insert(id, (Where::Busy, from));
                }
            }
            Step::Answer(n, served) => {
                if let Some(id) = self.pick(n, |w| *w == Where::Busy) {
                    self.admission.answered(self.now, id, served.then_some(1.0));
                    let from = self.all[&id].1;
                    self.all.insert(id, (Where::Idle, from));
                }
            }
            Step::Close(n) => {
                let Some(id) = self.pick(n, |_| true) else { return };
                self.all.remove(&id);
                *self.ended.entry(id).or_default() += 1;
                self.admission.closed(self.now, id, &mut out);
                self.admitted_within_parts(before, &out);
            }
            Step::Exhaust => {
                self.admission.exhausted(self.now, &mut out);
                return self.carry_out(out, None, true);
            }
            Step::Pass(ms) => {
                let until = self.now + at(ms);
                // As the host owes it: woken no later than it asked for.
                while let Some(due) = self.admission.next_wake().filter(|due| *due <= until) {
                    self.now = self.now.max(due);
                    let before = self.admission.admitted();
                    let mut out = Vec::new();
                    self.admission.wake(self.now, &mut out);
                    self.admitted_within_parts(before, &out);
                    self.carry_out(out, None, false);
                }
                self.now = until;
                self.admission.wake(self.now, &mut out);
            }
        }
        self.carry_out(out, None, false);
    }

    /// Nothing said of it: it is held.
    fn settle(&mut self, id: Id, out: &[Action]) {
        let said = out.iter().any(|a| match a {
            Action::Identify(n) | Action::Admit(n) | Action::Refuse(n, ..) => *n == id,
            Action::Evict(_) => false,
        });
        if !said {
            let from = self.all[&id].1;
            self.all.insert(id, (Where::Held(self.now), from));
        }
    }
}

fn at_most() -> Time {
    at(250)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, ..ProptestConfig::default() })]

    #[test]
    fn the_books_of_a_host_that_believes_nothing_agree(steps in prop::collection::vec(step(), 1..160)) {
        let mut host = Host {
            admission: Admission::new(&settings(RULES), ROOM),
            now: at(0),
            all: HashMap::new(),
            ended: HashMap::new(),
        };
        for step in &steps {
            host.run(step);
        }
        // Each ends once, and then there is nothing left of any.
        while let Some(id) = host.pick(0, |_| true) {
            let n = host.all.keys().filter(|other| **other < id).count();
            host.run(&Step::Close(n));
        }
        prop_assert!(host.ended.values().all(|n| *n == 1));
        prop_assert_eq!(host.admission.live(), 0);
        prop_assert_eq!(host.admission.admitted(), [0, 0]);
        prop_assert_eq!(host.admission.waiting(), (0, 0));
        prop_assert!(host.admission.remembered() <= 4 + 4 + 3 + 3);
        let counts = host.admission.counts();
        prop_assert!(counts.admitted + counts.refusals() <= counts.connected);
    }
}
