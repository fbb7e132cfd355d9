//! The replicas that the server can reach.

use linenthread_core::interface::Phase;

use super::{LinkServer, ServerAction};
use crate::frame::{Frame, Member, MembersUpdate};

/// The replicas, and the number of changes to them since the server's start.
#[derive(Default)]
pub(super) struct Membership {
    members: Vec<Member>,
    revision: u64,
}

impl Membership {
    /// Replaces the replicas; returns the changes, or `None` if there are none.
    fn replace(&mut self, members: Vec<Member>) -> Option<MembersUpdate> {
        if members == self.members {
            return None;
        }
        let changes = changed_members(&self.members, &members);
        self.members = members;
        self.revision += 1;
        Some(MembersUpdate {
            revision: self.revision,
            complete: false,
            members: changes,
        })
    }

    /// Returns the complete list, for a new connection.
    pub(super) fn complete_update(&self) -> MembersUpdate {
        MembersUpdate {
            revision: self.revision,
            complete: true,
            members: self.members.clone(),
        }
    }
}

impl LinkServer {
    /// Sets the replicas that this server can reach, and sends the changes to all clients.
    pub fn set_members(&mut self, members: Vec<Member>, actions: &mut Vec<ServerAction>) {
        let Some(update) = self.membership.replace(members) else {
            return;
        };
        actions.extend(self.established().map(|connection| ServerAction::Send {
            connection,
            frame: Frame::Members(update.clone()),
        }));
    }
}

/// Returns the members that are new or have changed, then those that were removed.
fn changed_members(old: &[Member], new: &[Member]) -> Vec<Member> {
    let changed = new.iter().filter(|member| !old.contains(member)).cloned();
    let is_listed = |id: &str| new.iter().any(|member| member.id == id);
    let removed = old
        .iter()
        .filter(|member| !is_listed(&member.id))
        .map(|member| Member {
            phase: Phase::Removed,
            ..member.clone()
        });
    changed.chain(removed).collect()
}
