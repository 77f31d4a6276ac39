//! What a connection carried before a request was written to it.
//!
//! Answers name the request that they belong to, not the attempt: on a connection that carried an earlier attempt of
//! the same request, a surplus answer to that attempt can't be told from the answer that is due. So no connection
//! carries two attempts of one request.

use std::cell::RefCell;
use std::rc::{Rc, Weak};

/// What a connection carried before a request, as far as that matters to the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionHistory {
    /// Nothing.
    New,
    /// Other requests.
    Kept,
}

/// Tells one connection from all others, also after it was closed.
#[derive(Debug, Default)]
pub(super) struct ConnectionIdentity(Rc<()>);

/// The connections that carried attempts of one request. Clones share their content.
#[derive(Clone, Debug, Default)]
pub struct UsedConnections(Rc<RefCell<Vec<Weak<()>>>>);

impl UsedConnections {
    /// Whether a connection carried an attempt of the request.
    pub(super) fn contains(&self, connection: &ConnectionIdentity) -> bool {
        self.0.borrow().iter().any(|used| used.as_ptr() == Rc::as_ptr(&connection.0))
    }

    /// Records that a connection carries an attempt of the request.
    pub(super) fn record(&self, connection: &ConnectionIdentity) {
        if !self.contains(connection) {
            self.0.borrow_mut().push(Rc::downgrade(&connection.0));
        }
    }
}
