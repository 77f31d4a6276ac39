//! Words among registries.

use crate::Host;
use crate::news::{Grant, Listing, Member};
use bitcode::{Decode, Encode};

/// Words among registries.
#[derive(Clone, Debug, Decode, Encode, PartialEq)]
pub enum Word {
    /// Every so often.
    Beat {
        /// The sender's life.
        life: u64,
        /// Numbers the beat.
        number: u64,
        /// The duties that it holds or wants, a bit each.
        claims: u64,
        /// The sessions that it has, in one hash.
        roll: u64,
        /// The newest list that it has.
        listing: (u64, Host),
        /// The highest number of a list that it ever heard of: proxies remember lists of before a start of all registries.
        highest: u64,
    },
    /// To a beat: the claims that the sender lets stand.
    Heard {
        /// Which beat.
        number: u64,
        /// Of which life.
        life: u64,
        /// Claims that stand.
        granted: u64,
    },
    /// All sessions of the sender.
    Roll(Vec<Member>),
    /// Tell me all your sessions.
    WantRoll,
    /// A newer list.
    Listing(Listing),
    /// Tell me your list.
    WantListing,
    /// A proxy of the sender's asks its region's relay for units.
    AskNear {
        /// The proxy.
        from: Host,
        /// Whose.
        tenant: String,
        /// How many.
        units: f64,
        /// For the next window.
        next: bool,
        /// Requests a ms that come to the proxy, smoothed.
        demand: f64,
    },
    /// A relay asks the holder for units.
    Ask {
        /// The relay's registry.
        from: Host,
        /// Whose.
        tenant: String,
        /// How many.
        units: f64,
        /// For the next window.
        next: bool,
        /// Requests a ms that come to its proxies, smoothed.
        demand: f64,
    },
    /// Units for a proxy of the receiver's, or for its relay.
    Grant(Host, Grant),
    /// Units that a proxy did not spend.
    Back {
        /// Whose.
        tenant: String,
        /// How many.
        units: f64,
        /// Of which window.
        window: u64,
    },
}
