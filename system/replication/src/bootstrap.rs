//! Bootstrap: creation of the first member list.
//!
//! At the first start all machines have the same seed addresses, and the seeds are up. Only the first seed
//! creates the list: it includes every machine that announced itself in time, persists the list and sends it
//! out. Each replica persists its role in this before it sends any message, so one that is killed before the
//! list exists continues after a restart with settings that no longer ask for a bootstrap. If the initiator
//! loses its *disk* before it has created the list, no list is created: nobody has promised anything by then,
//! and the cluster is started anew on empty disks.

use crate::membership::encode_members;
use crate::{MEMBERS_KEY, Millis, Replica};
use fennelscale_messages::store::{Entry, Member, Stamp, Term};

/// Time that the initiator waits for the other machines: they all start together, and no calls are expected
/// for the first seconds.
const BOOTSTRAP_DELAY: Millis = 1800.0;
/// Members, including itself, that the initiator waits for, at most until `BOOTSTRAP_MAX_WAIT`.
const BOOTSTRAP_MIN_MEMBERS: usize = 3;
/// Time after which the initiator creates the list with fewer members.
const BOOTSTRAP_MAX_WAIT: Millis = 6000.0;

/// Role of a replica in the bootstrap; persisted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, bitcode::Encode, bitcode::Decode)]
pub enum BootstrapRole {
    /// Takes no part: the replica joined later or lost its disk.
    #[default]
    None,
    /// Becomes a voting member with the first list, since it has forgotten nothing.
    Participant,
    /// Creates the first list.
    Initiator,
}

impl Replica {
    /// On an empty disk, records the bootstrap role that the settings give this replica.
    pub(crate) fn record_bootstrap_role(&mut self) {
        if !self.config.bootstrap || self.progress.bootstrap_role != BootstrapRole::None {
            return;
        }
        let first = self.config.seeds.first() == Some(&self.config.local.host);
        self.progress.bootstrap_role =
            if first { BootstrapRole::Initiator } else { BootstrapRole::Participant };
        self.dirty_progress = true;
    }

    pub(crate) fn bootstrap_cluster(&mut self, now: Millis) {
        let local = self.config.local.clone();
        let (uptime, count) = (now - self.started_at, self.learners.len() + 1);
        let early = uptime < BOOTSTRAP_DELAY || count < BOOTSTRAP_MIN_MEMBERS && uptime < BOOTSTRAP_MAX_WAIT;
        if self.progress.bootstrap_role != BootstrapRole::Initiator || early {
            return;
        }
        let mut members: Vec<Member> = self.learners.values().map(|learner| learner.member.clone()).collect();
        members.push(local.clone());
        members.sort();
        let stamp = Stamp { term: Term { number: 1, leader: local.host }, sequence: 0 };
        let entry = Entry { stamp, revision: 1, body: Some(encode_members(&members)), ..Entry::default() };
        self.log("founded", format!("seats={}", members.len()));
        self.voting = true;
        self.acceptor.promised = self.acceptor.promised.max(stamp.term);
        self.dirty_acceptor = true;
        self.merge_chosen(vec![(MEMBERS_KEY.to_owned(), entry)]);
        self.advance_position(stamp.next());
        self.other_members().into_iter().for_each(|host| self.send_members(host));
    }

    /// A replica that took part in the bootstrap has forgotten nothing, so it votes as soon as it is on the
    /// first list. Returns whether it does.
    pub(crate) fn join_initial_members(&mut self) -> bool {
        if self.progress.bootstrap_role == BootstrapRole::None || self.members.version != 1 {
            return false;
        }
        self.voting = true;
        self.dirty_acceptor = true;
        self.log("seat-taken", "version=1".into());
        true
    }
}
