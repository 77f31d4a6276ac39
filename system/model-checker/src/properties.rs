//! What must hold, from what callers were told, what went out as news and what is on the disks; never from what a store says of
//! itself.

/// One thing that did not hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// One version of an item has two contents.
    TwoContents(String, u64),
    /// In one life of a store its news of an item went back.
    GoesBack(String, u64, u64),
    /// A change that was refused is in force.
    RefusedInForce(String, u64),
    /// What was acknowledged is on fewer disks than two quorums need to share one that remembers.
    TooFewDisks(String, u64, usize),
    /// News went out of what is on too few disks to stay.
    EarlyNews(String, u64, usize),
    /// A reader that came after an acknowledgement was told something older.
    OldRead(String, u64),
    /// A call was answered twice.
    AnsweredTwice(usize),
    /// Two stores write in one turn.
    TwoWriters,
    /// One version of the list of seats has two contents: it was founded twice, or changed by two.
    TwoLists(u64),
    /// An order that was overtaken is in force.
    OvertakenOrder(String),
    /// All was well for seconds, and a reader was told nothing.
    NeverSettles(usize),
}
