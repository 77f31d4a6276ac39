//! What must hold, of every state that can be reached. Each is judged by what the nodes and clients of the world saw,
//! not by what the gateway believes.

use crate::world::{NODES, REQUESTS, Sent, effect};
use doorcourse::{Outcome, RetrySafety as Repeat};
use std::hash::{Hash, Hasher};

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
    /// An attempt of which no byte was written was reported as one that may have run.
    FalseDoubt,
    /// Two requests were open under one id.
    TwoOfOneId,
    /// A connection with bytes behind an answer was kept.
    ForeignBytes,
    /// At the end, units are lost or were won: those of requests that never ran did not go back exactly once.
    Units,
    /// A machine was given an event that its state does not allow.
    Illegal,
    /// At the end something had no end: a request without answer, an attempt in a table, a count that is not zero.
    Unsettled,
}

#[derive(Clone, Debug, Default, Hash)]
struct Of {
    answers: u8,
    left: bool,
    reached: Vec<Reached>,
    /// An attempt was reported as one that may have run.
    doubt: bool,
}

/// An attempt that reached a node whole.
#[derive(Clone, Copy, Debug)]
struct Reached {
    number: u32,
    node: u8,
    /// In ms.
    at: f64,
    declined: bool,
}

impl Hash for Reached {
    fn hash<H: Hasher>(&self, state: &mut H) {
        let Self { number, node, at, declined } = *self;
        (number, node, at.to_bits(), declined).hash(state);
    }
}

/// What was seen so far.
#[derive(Clone, Debug, Default, Hash)]
pub struct Ledger {
    /// By their numbers from 1, those that have come.
    requests: [Option<Of>; REQUESTS],
    away: [bool; NODES],
    /// The first property that was broken.
    pub violation: Option<Violation>,
}

impl Ledger {
    fn broke(&mut self, violation: Violation) {
        self.violation.get_or_insert(violation);
    }

    fn of(&mut self, id: u64) -> &mut Of {
        self.requests[id as usize - 1].get_or_insert_default()
    }

    pub(crate) fn arrived(&mut self, id: u64, of_open_id: bool) {
        *self.of(id) = Of::default();
        if of_open_id {
            self.broke(Violation::TwoOfOneId);
        }
    }

    /// It was not taken: nothing of it may follow.
    pub(crate) fn turned_away(&mut self, id: u64) {
        *self.of(id) = Of { left: true, ..Of::default() };
    }

    /// Requests whose units are used.
    pub(crate) fn used(&self) -> u32 {
        self.requests.iter().flatten().map(|of| u32::from(of.doubt)).sum()
    }

    pub(crate) fn kept_with_bytes_behind(&mut self) {
        self.broke(Violation::ForeignBytes);
    }

    pub(crate) fn left(&mut self, id: u64) {
        self.of(id).left = true;
    }

    pub(crate) fn is_open(&self, id: u64) -> bool {
        self.requests[id as usize - 1].as_ref().is_some_and(|of| of.answers == 0 && !of.left)
    }

    pub(crate) fn was_answered(&self, id: u64) -> bool {
        self.requests[id as usize - 1].as_ref().is_some_and(|of| of.answers > 0)
    }

    pub(crate) fn all_closed(&self) -> bool {
        self.requests.iter().flatten().all(|of| of.left || of.answers == 1)
    }

    pub(crate) fn answered(&mut self, id: u64, refused: bool) {
        let of = self.of(id);
        of.answers += 1;
        let twice = of.answers > 1 || of.left;
        let doubt = of.reached.iter().any(|r| !r.declined);
        of.reached.clear();
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
        let of = self.of(id);
        let doubtful = of.reached.iter().find(|r| !r.declined).copied();
        of.reached.push(Reached { number, node, at: now, declined: false });
        let Some(Reached { node: first, at, .. }) = doubtful else { return };
        match effect(id) {
            Repeat::Unsafe => self.broke(Violation::UnsafeTwice),
            // Each node is a rack of its own.
            Repeat::Keyed if first != node || now - at > memory => self.broke(Violation::KeyedOutside),
            Repeat::Keyed | Repeat::Safe => {}
        }
    }

    pub(crate) fn declined(&mut self, id: u64, number: u32) {
        for reached in &mut self.of(id).reached {
            reached.declined |= reached.number == number;
        }
    }

    pub(crate) fn late(&mut self) {
        self.broke(Violation::LateAnswer);
    }

    pub(crate) fn told_away(&mut self, node: u8) {
        self.away[usize::from(node)] = true;
    }

    pub(crate) fn told_back(&mut self, node: u8) {
        self.away[usize::from(node)] = false;
    }

    pub(crate) fn written(&mut self, node: u8) {
        if self.away[usize::from(node)] {
            self.broke(Violation::SentToDrained);
        }
    }

    /// An attempt has ended; `early`: nothing of it was written. If its client has left, nothing more may be begun (that alone
    /// breaks a property), so where its attempts have been matters no more; the same holds from the final answer on.
    pub(crate) fn ended(&mut self, sent: &Sent, outcome: Outcome, early: bool) {
        let never = matches!(
            outcome,
            Outcome::ConnectFailed | Outcome::NeverSent | Outcome::Rejected | Outcome::Misdirected
        );
        let of = self.of(sent.id);
        let reached = of.reached.iter().any(|r| r.number == sent.number && !r.declined);
        of.doubt |= !never;
        if !self.is_open(sent.id) {
            self.of(sent.id).reached.clear();
        }
        if early && !never {
            self.broke(Violation::FalseDoubt);
        }
        if never && reached {
            self.broke(Violation::FalseCertainty);
        }
    }
}
