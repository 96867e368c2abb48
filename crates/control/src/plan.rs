//! The members and the chain that a next view should have.

use crate::types::{Member, MemberId, View};

/// The next view, but for the state with which it begins.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Plan {
    /// The voters.
    pub(crate) members: Vec<Member>,
    /// The replicas, head first.
    pub(crate) chain: Vec<MemberId>,
}

impl Plan {
    /// The length of the shortest chain that is safe among these members; see [`View::least_chain`].
    pub(crate) fn least_chain(&self, tolerate: usize) -> usize {
        let view = View { members: self.members.clone(), ..View::default() };
        view.least_chain(tolerate)
    }

    /// The member with that id.
    pub(crate) fn member(&self, id: MemberId) -> Option<&Member> {
        self.members.iter().find(|member| member.id == id)
    }

    /// The ids of the members that aren't in the view before.
    pub(crate) fn newcomers<'a>(&'a self, base: &'a View) -> impl Iterator<Item = MemberId> + 'a {
        let newcomers = self.members.iter().filter(|member| base.member(member.id).is_none());
        newcomers.map(|member| member.id)
    }

    /// Whether the view's members or its set of replicas differ from the planned ones.
    pub(crate) fn differs_from(&self, view: &View) -> bool {
        let other_chain = self.chain.len() != view.chain.len()
            || self.chain.iter().any(|id| view.chain_index(*id).is_none());
        other_chain || self.members != view.members
    }
}
