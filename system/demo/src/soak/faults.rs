//! Faults of a soak: signals to proxies and core machines, in series that overlap, with calm between.

use super::Soak;
use super::judge::{CONTACT, STRETCH};
use crate::machines::{REGISTRY, STORE, ZONES, numbered};
use crate::steps::until_ready;
use rand::rngs::ChaCha8Rng;
use rand::{RngExt, SeedableRng};
use rustix::process::Signal;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// For how long something is faulty, at the most.
const LONGEST_AT_PROXY: Duration = Duration::from_millis(2500);
const LONGEST_AT_CORE: Duration = Duration::from_secs(9);
/// The same with several core machines in each zone: long enough for the core to be settled again without the machine.
const LONGEST_AT_ONE_OF_MANY: Duration = Duration::from_secs(16);
/// Core machines are faulty in every second span of so many seconds.
const CORE_TURN: u64 = 10;

/// One fault, as it was drawn.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlannedFault {
    pub(super) pause: Duration,
    pub(super) proxy: usize,
    pub(super) zone: usize,
    /// The core machine of the zone.
    pub(super) core: usize,
    /// Of a hundred: what is done.
    pub(super) dice: u32,
    /// Of the longest time.
    pub(super) share: f64,
}

/// Where a fault is injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultTarget {
    /// A proxy.
    Proxy(usize),
    /// A core machine, and with it whoever goes by the core.
    Core,
    /// All core machines at once.
    WholeCore,
}

/// From when to when something was faulty.
#[derive(Clone, Debug)]
pub struct FaultPeriod {
    pub target: FaultTarget,
    pub what: String,
    pub from: Duration,
    /// None while it lasts.
    pub to: Option<Duration>,
    /// Nothing more happens there until it is over.
    pub keeps_still: bool,
}

impl Soak {
    /// Whether a proxy has been well for long enough. One core machine is faulty at a time, and the loss of one is to be borne: that
    /// excuses nobody else.
    pub fn in_touch(&self, proxy: usize) -> bool {
        let now = self.now();
        let lately = |period: &FaultPeriod| period.to.is_none_or(|to| to + CONTACT > now);
        let here = |period: &&FaultPeriod| {
            period.target == FaultTarget::Proxy(proxy) || period.target == FaultTarget::WholeCore
        };
        !self.fault_periods.borrow().iter().filter(here).any(lately)
    }

    /// How much later than usual a change may be in force now. With one core machine in each zone one at a time is faulty, and that
    /// excuses nobody; with several the core counts as settled by the rules alone: from a while after a machine was struck, also
    /// while it is still away, and from a while after it was back.
    pub fn stretch(&self) -> Duration {
        let now = self.now();
        let is_recent = |at: Duration| at + CONTACT > now;
        let unsettles = |period: &FaultPeriod| {
            let is_steady = period.keeps_still && !is_recent(period.from);
            period.target == FaultTarget::Core
                && !(is_steady && period.to.is_none())
                && period.to.is_none_or(is_recent)
        };
        let is_unsettled = self.cores > 1 && self.fault_periods.borrow().iter().any(unsettles);
        if is_unsettled { STRETCH } else { Duration::ZERO }
    }

    pub(super) fn begin(&self, target: FaultTarget, what: String, keeps_still: bool) -> usize {
        let mut fault_periods = self.fault_periods.borrow_mut();
        fault_periods.push(FaultPeriod { target, what, from: self.now(), to: None, keeps_still });
        fault_periods.len() - 1
    }

    pub(super) fn end(&self, period: usize) {
        let now = self.now();
        self.fault_periods.borrow_mut()[period].to = Some(now);
    }

    /// Proxies are faulty again and again, core machines in every second span of ten seconds. All that is drawn of a fault is drawn
    /// before anything else is looked at: the same seed has the same faults at the same times, whatever the machine.
    pub async fn inject_faults(self: Rc<Self>) {
        let mut chance = ChaCha8Rng::seed_from_u64(self.seed);
        while !self.over.get() {
            let planned = PlannedFault {
                pause: Duration::from_millis(chance.random_range(150..900)),
                proxy: chance.random_range(0..self.proxies.len()),
                zone: chance.random_range(0..ZONES.len()),
                core: 0,
                dice: chance.random_range(0..100),
                share: f64::from(chance.random_range(0..1000)) / 1000.0,
            };
            sleep(planned.pause).await;
            if self.over.get() {
                return;
            }
            let core_turn = self.now().as_secs() / CORE_TURN % 2 == 1;
            if core_turn && planned.dice < 40 {
                if !self.core_is_faulty.replace(true) {
                    spawn_local(self.clone().inject_at_core_machine(planned));
                }
            } else if !self.proxies[planned.proxy].is_faulty.replace(true) {
                spawn_local(self.clone().inject_at_proxy(planned));
            }
        }
    }

    pub(super) async fn inject_at_proxy(self: Rc<Self>, planned: PlannedFault) {
        let number = planned.proxy;
        let proxy = &self.proxies[number];
        let (zone, program) = (proxy.zone, proxy.program.clone());
        let span = LONGEST_AT_PROXY.mul_f64(planned.share);
        match planned.dice {
            0..30 => {
                let period =
                    self.begin(FaultTarget::Proxy(number), format!("kill {program} in {zone}"), true);
                self.end_process(zone, &program, Signal::KILL).await;
                sleep(span).await;
                self.start_proxy(number).await;
                self.end(period);
            }
            30..55 => {
                let period =
                    self.begin(FaultTarget::Proxy(number), format!("terminate {program} in {zone}"), false);
                self.machines.borrow().signal(zone, &program, Signal::TERM);
                // Told twice while it leaves, as impatient operators do.
                sleep(span.min(self.grace)).await;
                self.machines.borrow().signal(zone, &program, Signal::TERM);
                sleep(self.grace.saturating_sub(span)).await;
                self.end_process(zone, &program, Signal::KILL).await;
                self.start_proxy(number).await;
                self.end(period);
            }
            55..80 => {
                let period =
                    self.begin(FaultTarget::Proxy(number), format!("stop {program} in {zone}"), true);
                self.stop(zone, &program);
                sleep(span).await;
                self.resume(zone, &program);
                self.end(period);
            }
            _ => self.machines.borrow().signal(zone, &program, Signal::HUP),
        }
        proxy.is_faulty.set(false);
    }

    async fn start_proxy(&self, number: usize) {
        let proxy = &self.proxies[number];
        proxy.life.set(proxy.life.get() + 1);
        let started = self.machines.borrow_mut().start(proxy.zone, &proxy.program, false);
        if let Err(report) = started {
            self.operator.borrow_mut().wrong.push(format!("{} did not start: {report}", proxy.program));
            return;
        }
        if until_ready(proxy.readiness).await.is_err() {
            self.operator.borrow_mut().wrong.push(format!("{} never was ready again", proxy.name()));
        }
    }

    pub(super) async fn end_process(&self, zone: usize, program: &str, signal: Signal) {
        self.machines.borrow().signal(zone, program, signal);
        let ending = self.machines.borrow_mut().take(zone, program);
        if let Some(mut child) = ending {
            let _ = child.wait().await;
        }
    }

    pub(super) async fn inject_at_core_machine(self: Rc<Self>, planned: PlannedFault) {
        let PlannedFault { zone, core, dice, .. } = planned;
        let longest = if self.cores > 1 { LONGEST_AT_ONE_OF_MANY } else { LONGEST_AT_CORE };
        let span = longest.mul_f64(planned.share);
        let kinds: &[&str] = match dice % 3 {
            0 => &[STORE, REGISTRY],
            1 => &[STORE],
            _ => &[REGISTRY],
        };
        let programs: Vec<String> = kinds.iter().map(|program| numbered(program, core)).collect();
        let (signal, how) = [(Signal::KILL, "kill"), (Signal::TERM, "terminate"), (Signal::STOP, "stop")]
            [dice as usize / 3 % 3];
        let what = format!("{how} {} in {zone}", programs.join(" and "));
        // What was told to terminate ends at a time of its own.
        let period = self.begin(FaultTarget::Core, what, signal != Signal::TERM);
        if signal == Signal::STOP {
            programs.iter().for_each(|program| self.stop(zone, program));
            sleep(span).await;
            programs.iter().for_each(|program| self.resume(zone, program));
        } else {
            for program in &programs {
                self.machines.borrow().signal(zone, program, signal);
            }
            sleep(span).await;
            for program in &programs {
                self.end_process(zone, program, Signal::KILL).await;
                let started = self.machines.borrow_mut().start(zone, program, false);
                if let Err(report) = started {
                    self.operator.borrow_mut().wrong.push(format!("{program} did not start: {report}"));
                }
            }
        }
        self.end(period);
        self.core_is_faulty.set(false);
    }
}
