//! What several items may claim, and who has it: places of routes, keys of tenants.
//!
//! The store lets no two items that stand claim the same. A copy hears of items one by one and by more than one way, so for a moment it
//! may know the new holder of a claim and an older version of the former one. All claims are kept: the newest holds, and when it goes the next one
//! does. Who holds follows from the newest items alone, not from the order in which they came.

use fennelscale_messages::store::Stamp;
use std::borrow::Borrow;
use std::collections::HashMap;
use std::hash::Hash;
use std::rc::Rc;

/// One item's claim.
#[derive(Clone, Debug)]
struct Claim<T> {
    stamp: Stamp,
    claimant: Rc<T>,
}

/// Claimants by what they claim, the newest of each first.
#[derive(Clone, Debug)]
pub(crate) struct Claims<T>(HashMap<String, Vec<Claim<T>>>);

impl<T> Default for Claims<T> {
    fn default() -> Self {
        Self(HashMap::new())
    }
}

impl<T> Claims<T> {
    /// An item claims something from its write on.
    pub(crate) fn add(&mut self, key: &str, stamp: Stamp, claimant: &Rc<T>) {
        let claims = self.0.entry(key.to_owned()).or_default();
        let newer = claims.partition_point(|claim| claim.stamp > stamp);
        claims.insert(newer, Claim { stamp, claimant: claimant.clone() });
    }

    /// An item claims it no more.
    pub(crate) fn remove(&mut self, key: &str, claimant: &Rc<T>) {
        let Some(claims) = self.0.get_mut(key) else { return };
        claims.retain(|claim| !Rc::ptr_eq(&claim.claimant, claimant));
        if claims.is_empty() {
            self.0.remove(key);
        }
    }

    /// Who has it.
    pub(crate) fn holder<Q>(&self, key: &Q) -> Option<&Rc<T>>
    where
        String: Borrow<Q>,
        Q: Hash + Eq + ?Sized,
    {
        self.0.get(key)?.first().map(|claim| &claim.claimant)
    }

    /// Whether nobody claims anything.
    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// What more than one item claims now.
    pub(crate) fn contested(&self) -> usize {
        self.0.values().filter(|claims| claims.len() > 1).count()
    }
}
