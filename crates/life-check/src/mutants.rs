//! Deliberate faults, each a line in how the machines are used. Every one must be caught.

/// A fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mutant {
    /// A cancel does not reach the decisions, and a called-off attempt counts as one that never ran.
    ResendAfterCancel,
    /// A connection that broke with the request written whole counts as one that never came up.
    ForgetWhole,
    /// The first bytes' writing is not noted.
    ForgetWrite,
    /// A connection that broke with the request written in part counts as one that never came up.
    PartNeverRan,
    /// An answer that cannot be read counts as none sent.
    SpoiltNeverSent,
    /// An error counts as a decline.
    ErrorIsDecline,
    /// The list is not looked at again before the first byte.
    NoLastLook,
    /// Any break on a kept connection has the attempt seek another one.
    KeptBreaksAreFree,
    /// A final answer does not take the reply with it.
    AnswerTwice,
    /// The end of an attempt that was called off is not told.
    LoseStoppedEnd,
    /// A failure is told as a refusal.
    RefuseForFail,
    /// All nodes are told as of one rack.
    OneRack,
    /// The memory of keys is told ten times as long.
    LongMemory,
    /// Each attempt is begun twice.
    BeginTwice,
    /// A time-out is not told to an attempt that waits for its connection.
    NoTimeoutWhileDialling,
    /// An attempt that was called off before its first byte counts as one that may have run.
    CallOffIsDoubt,
    /// The ids of open requests are not asked.
    IdsNotAsked,
    /// What is behind an answer is not looked for.
    KeepOverlong,
    /// The counter adds twice what it is told, so that the quota pays what nobody used.
    CountTwice,
    /// A keyed repeat may be written however late its connection comes up.
    NoWriteBy,
    /// An answer that came ahead of the request's last byte counts as one to a request that never runs.
    EarlyNeverRan,
    /// A connection is kept whose answer came ahead of the request's last byte.
    KeepEarly,
    /// A connection carries another attempt of a request that was refused on it.
    SameConnection,
}

/// All faults.
pub const ALL: [Mutant; 23] = [
    Mutant::ResendAfterCancel,
    Mutant::ForgetWhole,
    Mutant::ForgetWrite,
    Mutant::PartNeverRan,
    Mutant::SpoiltNeverSent,
    Mutant::ErrorIsDecline,
    Mutant::NoLastLook,
    Mutant::KeptBreaksAreFree,
    Mutant::AnswerTwice,
    Mutant::LoseStoppedEnd,
    Mutant::RefuseForFail,
    Mutant::OneRack,
    Mutant::LongMemory,
    Mutant::BeginTwice,
    Mutant::NoTimeoutWhileDialling,
    Mutant::CallOffIsDoubt,
    Mutant::IdsNotAsked,
    Mutant::KeepOverlong,
    Mutant::CountTwice,
    Mutant::NoWriteBy,
    Mutant::EarlyNeverRan,
    Mutant::KeepEarly,
    Mutant::SameConnection,
];
