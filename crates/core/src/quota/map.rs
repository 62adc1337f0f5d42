//! Share map: the platform object that says which router holds each share of an organisation.

use super::{RouterIncarnation, SHARES, plan_holders};
use crate::ids::{MemberId, OrganisationName, Term};

derive_value! {
    /// Holder and term of one share.
    #[derive(Eq)]
    pub struct Holding {
        /// Run of the router that holds the share.
        pub holder: RouterIncarnation,
        /// Grows by one with each change of holder, from 1. Only in term 1 does the share start full.
        pub term: Term,
    }

    /// Holders of an organisation's shares. The object is kept when the organisation is deleted: a new map for an
    /// organisation of the same name would start with full shares again.
    #[derive(Eq)]
    pub struct ShareMap {
        /// Holder of each share, by index of the share.
        pub shares: Vec<Holding>,
    }
}

impl ShareMap {
    /// First map of a new organisation; `None` when `live` is empty.
    pub fn new(organisation: &OrganisationName, live: &[RouterIncarnation]) -> Option<Self> {
        let members: Vec<_> = live.iter().map(|it| it.member.clone()).collect();
        let assigned = plan_holders(organisation, &vec![None; SHARES], &members)?;
        let find = |member: &MemberId| live.iter().find(|it| it.member == *member);
        let holding = |member: &MemberId| {
            let holder = find(member)?.clone();
            Some(Holding { holder, term: Term(1) })
        };
        let shares = assigned.iter().map(holding).collect::<Option<_>>()?;
        Some(Self { shares })
    }

    /// Whether the map, as read from the platform, has [`SHARES`] shares.
    pub fn is_valid(&self) -> bool {
        self.shares.len() == SHARES
    }

    /// Router runs that hold at least one share, sorted and without duplicates.
    pub fn holders(&self) -> Vec<RouterIncarnation> {
        let mut holders: Vec<_> = self.shares.iter().map(|it| it.holder.clone()).collect();
        holders.sort();
        holders.dedup();
        holders
    }

    /// Indices of the shares that `me` should take over: those of its own earlier runs, and those of ended holders that
    /// [`plan_holders`] assigns to it. `ended` must rest on proof of termination, never on a missed heartbeat.
    pub fn claims(
        &self,
        organisation: &OrganisationName,
        me: &RouterIncarnation,
        live: &[MemberId],
        ended: impl Fn(&RouterIncarnation) -> bool,
    ) -> Vec<usize> {
        let is_earlier_run = |it: &RouterIncarnation| it.member == me.member && it.incarnation < me.incarnation;
        let remaining: Vec<_> = self
            .shares
            .iter()
            .map(|it| &it.holder)
            .map(|it| (is_earlier_run(it) || !ended(it)).then(|| it.member.clone()))
            .collect();
        // Ranking all routers is expensive and needed only for shares without a holder.
        let any_vacant = remaining.iter().any(Option::is_none);
        let assigned = any_vacant
            .then(|| plan_holders(organisation, &remaining, live))
            .flatten();
        let is_assigned = |index: usize| assigned.as_ref().is_some_and(|it| it[index] == me.member);
        (0..self.shares.len())
            .filter(|index| {
                is_earlier_run(&self.shares[*index].holder) || (remaining[*index].is_none() && is_assigned(*index))
            })
            .collect()
    }

    /// Shares of `me` that [`plan_holders`] assigns to another live router: index of the share and that router.
    pub fn moves(
        &self,
        organisation: &OrganisationName,
        me: &RouterIncarnation,
        live: &[RouterIncarnation],
    ) -> Vec<(usize, RouterIncarnation)> {
        // Most routers hold no share of an organisation and can skip the ranking.
        if self.shares.iter().all(|it| it.holder != *me) {
            return Vec::new();
        }
        let members: Vec<_> = live.iter().map(|it| it.member.clone()).collect();
        let current: Vec<_> = self.shares.iter().map(|it| Some(it.holder.member.clone())).collect();
        let Some(assigned) = plan_holders(organisation, &current, &members) else {
            return Vec::new();
        };
        let mine = |index: &usize| self.shares[*index].holder == *me && assigned[*index] != me.member;
        let target = |index: usize| live.iter().find(|it| it.member == assigned[index]).cloned();
        (0..self.shares.len())
            .filter(mine)
            .filter_map(|index| Some((index, target(index)?)))
            .collect()
    }

    /// Copy of the map in which share `index` has a new holder and the next term.
    #[must_use]
    pub fn moved(&self, index: usize, holder: &RouterIncarnation) -> Self {
        let mut next = self.clone();
        let share = &mut next.shares[index];
        share.holder = holder.clone();
        share.term = Term(share.term.0 + 1);
        next
    }
}
