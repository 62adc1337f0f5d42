//! Who holds which share: the platform object of an organisation.

use super::{RouterIncarnation, SHARES, plan_holders};
use crate::ids::{MemberId, OrganisationName, Term};

derive_value! {
    /// Holder of a share.
    #[derive(Eq)]
    pub struct Holding {
        /// Life of the router that holds it.
        pub holder: RouterIncarnation,
        /// Grows by one with each change of holder. The first term starts full.
        pub term: Term,
    }

    /// Holders of an organisation's shares. The object is kept when the organisation is deleted, because a new one of
    /// the same name would start full again.
    #[derive(Eq)]
    pub struct ShareMap {
        /// Holder of each share.
        pub shares: Vec<Holding>,
    }
}

impl ShareMap {
    /// First map of a new organisation; `None` when no router is alive.
    pub fn new(organisation: &OrganisationName, live: &[RouterIncarnation]) -> Option<Self> {
        let members: Vec<_> = live.iter().map(|it| it.member.clone()).collect();
        let planned = plan_holders(organisation, &vec![None; SHARES], &members)?;
        let find = |member: &MemberId| live.iter().find(|it| it.member == *member);
        let holding = |member: &MemberId| {
            let holder = find(member)?.clone();
            Some(Holding { holder, term: Term(1) })
        };
        let shares = planned.iter().map(holding).collect::<Option<_>>()?;
        Some(Self { shares })
    }

    /// Whether the map has the expected number of shares.
    pub fn is_valid(&self) -> bool {
        self.shares.len() == SHARES
    }

    /// Routers that hold a share, each once.
    pub fn holders(&self) -> Vec<RouterIncarnation> {
        let mut holders: Vec<_> = self.shares.iter().map(|it| it.holder.clone()).collect();
        holders.sort();
        holders.dedup();
        holders
    }

    /// Shares that `me` should take over: its own of an earlier life, and those of ended holders that the plan gives
    /// to it. `ended` must rest on proof, never on a missing heartbeat.
    pub fn claims(
        &self,
        organisation: &OrganisationName,
        me: &RouterIncarnation,
        live: &[MemberId],
        ended: impl Fn(&RouterIncarnation) -> bool,
    ) -> Vec<usize> {
        let earlier = |it: &RouterIncarnation| it.member == me.member && it.incarnation < me.incarnation;
        let kept: Vec<_> = self
            .shares
            .iter()
            .map(|it| &it.holder)
            .map(|it| (earlier(it) || !ended(it)).then(|| it.member.clone()))
            .collect();
        // Ranking all routers is the expensive part, and only shares without a holder need it.
        let is_open = kept.iter().any(Option::is_none);
        let planned = is_open.then(|| plan_holders(organisation, &kept, live)).flatten();
        let given = |at: usize| planned.as_ref().is_some_and(|it| it[at] == me.member);
        (0..self.shares.len())
            .filter(|at| earlier(&self.shares[*at].holder) || (kept[*at].is_none() && given(*at)))
            .collect()
    }

    /// Shares of `me` that the plan gives to another live router, with that router.
    pub fn moves(
        &self,
        organisation: &OrganisationName,
        me: &RouterIncarnation,
        live: &[RouterIncarnation],
    ) -> Vec<(usize, RouterIncarnation)> {
        // Most routers hold no share of an organisation and need no ranking.
        if self.shares.iter().all(|it| it.holder != *me) {
            return Vec::new();
        }
        let members: Vec<_> = live.iter().map(|it| it.member.clone()).collect();
        let current: Vec<_> = self.shares.iter().map(|it| Some(it.holder.member.clone())).collect();
        let Some(planned) = plan_holders(organisation, &current, &members) else {
            return Vec::new();
        };
        let mine = |at: &usize| self.shares[*at].holder == *me && planned[*at] != me.member;
        let target = |at: usize| live.iter().find(|it| it.member == planned[at]).cloned();
        (0..self.shares.len())
            .filter(mine)
            .filter_map(|at| Some((at, target(at)?)))
            .collect()
    }

    /// Moves a share to another holder.
    #[must_use]
    pub fn moved(&self, at: usize, holder: &RouterIncarnation) -> Self {
        let mut next = self.clone();
        let share = &mut next.shares[at];
        share.holder = holder.clone();
        share.term = Term(share.term.0 + 1);
        next
    }
}
