//! A preview node with no I/O and no clock: slots, a waiting room, shared cores, a cold start, and the fall.
//!
//! The host tells it what came and what time it is; it says what began, what was done and when to look again.

use std::collections::VecDeque;

/// What one node can do.
#[derive(Clone, Copy, Debug)]
pub struct Figures {
    /// Cores.
    pub cores: f64,
    /// Work that a core does in 1 ms.
    pub speed: f64,
    /// Requests worked on at once.
    pub slots: usize,
    /// Requests that wait.
    pub waiting: usize,
    /// How it starts and when it falls.
    pub cold: Cold,
}

/// How a node starts and when it falls.
#[derive(Clone, Copy, Debug)]
pub struct Cold {
    /// The share of its capacity that it starts with.
    pub from: f64,
    /// The time in which that rises evenly to the full, in ms.
    pub time: f64,
    /// It falls when sent more than this many times what it can do ...
    pub multiple: f64,
    /// ... over this time, in ms.
    pub window: f64,
}

impl Cold {
    /// The share of its capacity that a node has at an age.
    pub fn warmth(&self, age: f64) -> f64 {
        if age >= self.time { 1.0 } else { self.from + (1.0 - self.from) * (age / self.time).max(0.0) }
    }
}

/// The work that a cold node may be sent: within any window, no more than the multiple of its present capacity times
/// the window. Used by the node to fall and by the judge to say so, so that they cannot differ.
#[derive(Clone, Debug)]
pub struct Budget {
    cold: Cold,
    born: f64,
    /// Work done in 1 ms when warm.
    power: f64,
    sent: VecDeque<(f64, f64)>,
    sum: f64,
}

impl Budget {
    /// The budget of a node that started cold at `born`.
    pub fn new(cold: Cold, born: f64, power: f64) -> Self {
        Self { cold, born, power, sent: VecDeque::new(), sum: 0.0 }
    }

    /// Whether the node is still cold.
    pub fn is_cold(&self, now: f64) -> bool {
        now - self.born < self.cold.time
    }

    /// Notes work sent, in ms of core time; the share of the budget that is spent now. Above 1 the node falls.
    pub fn send(&mut self, now: f64, work: f64) -> f64 {
        self.sent.push_back((now, work));
        self.sum += work;
        while let Some((at, work)) =
            self.sent.front().copied().filter(|(at, _)| *at <= now - self.cold.window)
        {
            debug_assert!(at <= now);
            self.sent.pop_front();
            self.sum -= work;
        }
        let capacity = self.power * self.cold.warmth(now - self.born);
        self.sum / (self.cold.multiple * capacity * self.cold.window)
    }
}

/// A request at a node.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// The attempt.
    pub attempt: u32,
    /// Work, in ms of core time at full speed.
    pub work: f64,
    /// When its client gives up; it is not begun after that.
    pub deadline: f64,
}

/// What a node does with something.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    /// It began with an attempt: the effect takes place.
    Began(u32),
    /// It is done with an attempt.
    Done(u32),
    /// It turned an attempt away unseen.
    Declined(u32),
    /// It fell over and stays down.
    Fell,
}

struct Running {
    attempt: u32,
    left: f64,
}

/// The steps of time in which rising capacity is taken as level, in ms.
const LEVEL: f64 = 10.0;
/// What is left of a job is nothing below this.
const NOTHING: f64 = 1e-6;

/// One life of a preview node.
pub struct Node {
    figures: Figures,
    /// When it started cold; none for long ago.
    budget: Option<Budget>,
    now: f64,
    running: Vec<Running>,
    waiting: VecDeque<Job>,
    stalled: bool,
    draining: bool,
    fallen: bool,
}

impl Node {
    /// A node that starts at `now`, cold or long since warm.
    pub fn new(figures: Figures, now: f64, cold: bool) -> Self {
        let power = figures.cores * figures.speed;
        Self {
            figures,
            budget: cold.then(|| Budget::new(figures.cold, now, power)),
            now,
            running: Vec::new(),
            waiting: VecDeque::new(),
            stalled: false,
            draining: false,
            fallen: false,
        }
    }

    /// Requests that wait.
    pub fn queue(&self) -> usize {
        self.waiting.len()
    }

    /// From now on it takes nothing new.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// It stands still, or goes on.
    pub fn stall(&mut self, now: f64, on: bool, steps: &mut Vec<Step>) {
        self.advance(now, steps);
        self.stalled = on;
    }

    /// A request came whole. What follows is in `steps`: it waits, began, or was declined.
    pub fn take(&mut self, now: f64, job: Job, steps: &mut Vec<Step>) {
        self.advance(now, steps);
        if self.fallen {
            return;
        }
        if let Some(budget) = self.budget.as_mut().filter(|b| b.is_cold(now))
            && budget.send(now, job.work) > 1.0
        {
            // Guards nothing: this is the fall itself. What it held is lost with it.
            self.fallen = true;
            self.running.clear();
            self.waiting.clear();
            return steps.push(Step::Fell);
        }
        let free = self.running.len() < self.figures.slots;
        if self.draining || !free && self.waiting.len() >= self.figures.waiting {
            return steps.push(Step::Declined(job.attempt));
        }
        self.waiting.push_back(job);
        self.fill(steps);
    }

    fn fill(&mut self, steps: &mut Vec<Step>) {
        while !self.stalled && self.running.len() < self.figures.slots {
            let Some(job) = self.waiting.pop_front() else { return };
            if job.deadline <= self.now {
                steps.push(Step::Declined(job.attempt));
                continue;
            }
            steps.push(Step::Began(job.attempt));
            self.running.push(Running { attempt: job.attempt, left: job.work });
        }
    }

    /// Work done in 1 ms on each request that runs.
    fn pace(&self) -> f64 {
        let warmth = self.budget.as_ref().map_or(1.0, |b| b.cold.warmth(self.now - b.born));
        let cores = self.figures.cores / (self.running.len() as f64).max(1.0);
        self.figures.speed * warmth * cores.min(1.0)
    }

    /// Works up to `now`.
    pub fn advance(&mut self, now: f64, steps: &mut Vec<Step>) {
        if self.stalled || self.fallen {
            self.now = self.now.max(now);
            return;
        }
        self.fill(steps);
        while self.now < now {
            let (pace, cold) = (self.pace(), self.budget.as_ref().is_some_and(|b| b.is_cold(self.now)));
            let least = self.running.iter().map(|r| r.left).fold(f64::INFINITY, f64::min);
            let until = if cold { now.min(self.now + LEVEL) } else { now };
            let span = (until - self.now).min(least / pace);
            self.running.iter_mut().for_each(|r| r.left -= span * pace);
            // A step too small to move the clock would never end.
            self.now = if span < 1e-9 && least / pace > span { until } else { self.now + span };
            let before = self.running.len();
            self.running.retain(|r| {
                let done = r.left <= NOTHING;
                if done {
                    steps.push(Step::Done(r.attempt));
                }
                !done
            });
            if self.running.len() < before {
                self.fill(steps);
            } else if self.running.is_empty() {
                self.now = now;
            }
        }
    }

    /// When something will be done, as things stand; none if nothing is.
    pub fn wakes(&self) -> Option<f64> {
        if self.stalled || self.fallen {
            return None;
        }
        let least = self.running.iter().map(|r| r.left).fold(f64::INFINITY, f64::min);
        let wait = least / self.pace();
        wait.is_finite().then_some(self.now + wait)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const COLD: Cold = Cold { from: 0.25, time: 8000.0, multiple: 2.0, window: 3000.0 };

    fn figures() -> Figures {
        Figures { cores: 2.0, speed: 0.5, slots: 3, waiting: 2, cold: COLD }
    }

    fn job(attempt: u32, work: f64) -> Job {
        Job { attempt, work, deadline: 1e9 }
    }

    fn take(node: &mut Node, now: f64, job: Job) -> Vec<Step> {
        let mut steps = Vec::new();
        node.take(now, job, &mut steps);
        steps
    }

    fn advance(node: &mut Node, now: f64) -> Vec<Step> {
        let mut steps = Vec::new();
        node.advance(now, &mut steps);
        steps
    }

    #[test]
    fn requests_share_the_cores_and_wait_beyond_the_slots() {
        let mut node = Node::new(figures(), 0.0, false);
        for n in 0..3 {
            assert_eq!(take(&mut node, 0.0, job(n, 100.0)), [Step::Began(n)]);
        }
        assert_eq!(take(&mut node, 0.0, job(3, 100.0)), []);
        assert_eq!(take(&mut node, 0.0, job(4, 100.0)), []);
        assert_eq!(take(&mut node, 0.0, job(5, 100.0)), [Step::Declined(5)]);
        // Three share two cores at half speed: a third of 1 ms each.
        assert!((node.wakes().expect("work") - 300.0).abs() < 1e-6);
        assert_eq!(advance(&mut node, 299.9), []);
        let steps = advance(&mut node, 300.1);
        assert_eq!(steps, [Step::Done(0), Step::Done(1), Step::Done(2), Step::Began(3), Step::Began(4)]);
        // Two have a core each.
        assert!((node.wakes().expect("work") - 500.0).abs() < 1.0);
    }

    #[test]
    fn a_cold_node_works_at_its_share_and_is_warm_in_time() {
        assert_eq!([COLD.warmth(0.0), COLD.warmth(4000.0), COLD.warmth(8000.0)], [0.25, 0.625, 1.0]);
        let mut node = Node::new(figures(), 1000.0, true);
        take(&mut node, 1000.0, job(1, 10.0));
        // 10 ms of work at 0.5 x 0.25: a little less than 80 ms, as it warms meanwhile.
        assert_eq!(advance(&mut node, 1077.0), []);
        assert_eq!(advance(&mut node, 1080.0), [Step::Done(1)]);
    }

    #[test]
    fn a_cold_node_falls_just_past_its_budget_and_stays_down() {
        // At its start: 2 x 1.0 x 0.25 x 3000 = 1500 ms of work.
        let mut node = Node::new(figures(), 0.0, true);
        assert_eq!(take(&mut node, 0.0, job(1, 1500.0)), [Step::Began(1)]);
        assert_eq!(take(&mut node, 0.0, job(2, 0.1)), [Step::Fell]);
        assert_eq!(take(&mut node, 10.0, job(3, 0.1)), []);
        assert_eq!((advance(&mut node, 1e6), node.wakes()), (vec![], None));
    }

    #[test]
    fn what_is_declined_counts_for_the_fall_and_old_work_no_more() {
        let mut budget = Budget::new(COLD, 0.0, 1.0);
        assert!(budget.send(0.0, 1500.0) <= 1.0);
        // The window has passed; capacity has risen as well.
        assert!(budget.send(3000.0, 1500.0) < 1.0);
        assert!(budget.send(3000.0, 2000.0) > 1.0);
        let mut node = Node::new(figures(), 0.0, true);
        node.drain();
        assert_eq!(take(&mut node, 0.0, job(1, 1500.0)), [Step::Declined(1)]);
        assert_eq!(take(&mut node, 0.0, job(2, 1.0)), [Step::Fell]);
    }

    #[test]
    fn what_waits_past_its_deadline_is_declined_and_never_runs() {
        let mut node = Node::new(Figures { slots: 1, ..figures() }, 0.0, false);
        take(&mut node, 0.0, job(1, 100.0));
        let late = Job { attempt: 2, work: 1.0, deadline: 150.0 };
        assert_eq!(take(&mut node, 0.0, late), []);
        assert_eq!(advance(&mut node, 250.0), [Step::Done(1), Step::Declined(2)]);
    }

    #[test]
    fn a_stalled_node_does_nothing_and_goes_on_where_it_stood() {
        let mut node = Node::new(figures(), 0.0, false);
        take(&mut node, 0.0, job(1, 100.0));
        let mut steps = Vec::new();
        node.stall(100.0, true, &mut steps);
        assert_eq!((node.wakes(), advance(&mut node, 900.0)), (None, vec![]));
        assert_eq!(take(&mut node, 900.0, job(2, 1.0)), []);
        node.stall(1000.0, false, &mut steps);
        assert_eq!(steps, []);
        assert_eq!(advance(&mut node, 1101.0), [Step::Began(2), Step::Done(2), Step::Done(1)]);
    }
}
