//! What must hold, of every state that can be reached. Each is judged by what the nodes and clients of the world saw,
//! not by what the gateway believes.

use crate::world::{Sent, effect};
use doorcourse::{Effect as Repeat, Outcome};
use std::collections::BTreeMap;

/// A property that does not hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Violation {
    /// A request got a second final answer, or one after its client had left.
    SecondAnswer,
    /// An attempt was begun for a request whose client was owed nothing any more.
    SentAfterTheAnswer,
    /// Two attempts of a request were out at once.
    TwoOut,
    /// An unsafe request reached a node although an earlier attempt had reached one and was not declined.
    UnsafeTwice,
    /// A keyed request that may have run reached another rack, or its own when that had forgotten it.
    KeyedOutside,
    /// A request was refused although an attempt may have run and repeating is not harmless.
    RefusedInDoubt,
    /// A first byte was written to a node of which the gateway knew that it drains or is gone.
    SentToDrained,
    /// An attempt was reported as one that never ran, and had reached a node that did not decline it.
    FalseCertainty,
    /// A request had no final answer when its client's time was up.
    LateAnswer,
    /// A machine was given an event that its state does not allow.
    Illegal,
    /// At the end something had no end: a request without answer, an attempt in a table, a count that is not zero.
    Unsettled,
}

#[derive(Clone, Debug, Default)]
struct Of {
    answers: u8,
    left: bool,
    /// Attempts that reached a node whole: number, node, when; and whether it was declined.
    reached: Vec<(u32, u8, f64, bool)>,
    runs: u8,
}

/// What was seen so far.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    requests: BTreeMap<u64, Of>,
    away: Vec<u8>,
    /// The first property that was broken.
    pub violation: Option<Violation>,
}

impl Ledger {
    fn broke(&mut self, violation: Violation) {
        self.violation.get_or_insert(violation);
    }

    pub(crate) fn arrived(&mut self, id: u64) {
        self.requests.insert(id, Of::default());
    }

    pub(crate) fn left(&mut self, id: u64) {
        self.requests.entry(id).or_default().left = true;
    }

    pub(crate) fn is_open(&self, id: u64) -> bool {
        self.requests.get(&id).is_some_and(|of| of.answers == 0 && !of.left)
    }

    pub(crate) fn all_closed(&self) -> bool {
        self.requests.values().all(|of| of.left || of.answers == 1)
    }

    pub(crate) fn answered(&mut self, id: u64, refused: bool) {
        let of = self.requests.entry(id).or_default();
        of.answers += 1;
        let twice = of.answers > 1 || of.left;
        let doubt = of.reached.iter().any(|(.., declined)| !declined);
        if twice {
            self.broke(Violation::SecondAnswer);
        }
        if refused && doubt && effect(id) != Repeat::Safe {
            self.broke(Violation::RefusedInDoubt);
        }
    }

    pub(crate) fn begun(&mut self, id: u64, another_out: bool) {
        if !self.is_open(id) {
            self.broke(Violation::SentAfterTheAnswer);
        }
        if another_out {
            self.broke(Violation::TwoOut);
        }
    }

    pub(crate) fn reached(&mut self, id: u64, number: u32, node: u8, now: f64, memory: f64) {
        let of = self.requests.entry(id).or_default();
        let doubtful = of.reached.iter().find(|(.., declined)| !declined).copied();
        of.reached.push((number, node, now, false));
        let Some((_, first, at, _)) = doubtful else { return };
        match effect(id) {
            Repeat::Unsafe => self.broke(Violation::UnsafeTwice),
            // Each node is a rack of its own.
            Repeat::Keyed if first != node || now - at > memory => self.broke(Violation::KeyedOutside),
            Repeat::Keyed | Repeat::Safe => {}
        }
    }

    pub(crate) fn ran(&mut self, id: u64) {
        self.requests.entry(id).or_default().runs += 1;
    }

    pub(crate) fn declined(&mut self, id: u64, number: u32) {
        for reached in &mut self.requests.entry(id).or_default().reached {
            reached.3 |= reached.0 == number;
        }
    }

    pub(crate) fn late(&mut self) {
        self.broke(Violation::LateAnswer);
    }

    pub(crate) fn told_away(&mut self, node: u8) {
        self.away.push(node);
    }

    pub(crate) fn written(&mut self, node: u8) {
        if self.away.contains(&node) {
            self.broke(Violation::SentToDrained);
        }
    }

    pub(crate) fn ended(&mut self, sent: &Sent, outcome: Outcome) {
        let never = matches!(outcome, Outcome::ConnectFailed | Outcome::NeverSent | Outcome::Full);
        let of = self.requests.entry(sent.id).or_default();
        let reached = of.reached.iter().any(|(number, .., declined)| *number == sent.number && !declined);
        if never && reached {
            self.broke(Violation::FalseCertainty);
        }
    }
}
