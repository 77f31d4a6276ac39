//! Keys that only one item may hold, and their holders: path prefixes of routes and API keys of tenants.
//!
//! The store lets no two current items claim the same key. A copy receives items one by one and over more
//! than one path, so for a moment it may know the new holder of a key and an older revision of the former
//! one. All claims are kept: the newest holds the key, and when it is removed the next one does. The holder
//! follows from the newest items alone, not from the order in which they arrived.

use fennelscale_messages::store::Stamp;
use std::borrow::Borrow;
use std::collections::HashMap;
use std::hash::Hash;
use std::rc::Rc;

/// An item's claim to a key.
#[derive(Clone, Debug)]
struct Claim<T> {
    stamp: Stamp,
    claimant: Rc<T>,
}

/// Claims by key, the newest of each first.
#[derive(Clone, Debug)]
pub(crate) struct Claims<T>(HashMap<String, Vec<Claim<T>>>);

impl<T> Default for Claims<T> {
    fn default() -> Self {
        Self(HashMap::new())
    }
}

impl<T> Claims<T> {
    /// Adds an item's claim to a key, made by the write with this stamp.
    pub(crate) fn add(&mut self, key: &str, stamp: Stamp, claimant: &Rc<T>) {
        let claims = self.0.entry(key.to_owned()).or_default();
        let newer = claims.partition_point(|claim| claim.stamp > stamp);
        claims.insert(newer, Claim { stamp, claimant: claimant.clone() });
    }

    /// Removes an item's claim to a key.
    pub(crate) fn remove(&mut self, key: &str, claimant: &Rc<T>) {
        let Some(claims) = self.0.get_mut(key) else { return };
        claims.retain(|claim| !Rc::ptr_eq(&claim.claimant, claimant));
        if claims.is_empty() {
            self.0.remove(key);
        }
    }

    /// The holder of a key: the item with the newest claim.
    pub(crate) fn holder<Q>(&self, key: &Q) -> Option<&Rc<T>>
    where
        String: Borrow<Q>,
        Q: Hash + Eq + ?Sized,
    {
        self.0.get(key)?.first().map(|claim| &claim.claimant)
    }

    /// Whether there are no claims.
    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The number of keys claimed by more than one item.
    pub(crate) fn contested(&self) -> usize {
        self.0.values().filter(|claims| claims.len() > 1).count()
    }
}
