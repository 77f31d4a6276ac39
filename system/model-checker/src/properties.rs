//! Properties that must hold. They are checked against responses to callers, published entries and the
//! contents of disks, never against what a replica reports about itself.

/// A violated property.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// One version of an entry has two contents.
    TwoContents(String, u64),
    /// A replica published an older version of an entry after a newer one, within one incarnation.
    GoesBack(String, u64, u64),
    /// A rejected change is in force.
    RefusedInForce(String, u64),
    /// An acknowledged version is on fewer disks than are needed for two quorums to share one that remembers
    /// it.
    TooFewDisks(String, u64, usize),
    /// A version was published that is on too few disks to be durable.
    EarlyNews(String, u64, usize),
    /// A read returned an older version than one acknowledged before it.
    OldRead(String, u64),
    /// A call was answered twice.
    AnsweredTwice(usize),
    /// Two leaders in one term.
    TwoWriters,
    /// One version of the member list has two contents: bootstrapped twice, or changed by two leaders.
    TwoLists(u64),
    /// An evacuation order that was overtaken is in force.
    OvertakenOrder(String),
    /// A read got no result although there was no fault for seconds.
    NeverSettles(usize),
}
