//! Search in sets of workers by their speed, see [`speed_class`](crate::speed_class).

use std::borrow::Cow;

use crate::{
    candidates::{Candidate, Candidates, FreeAt, SearchRequest},
    search::Search,
    speed_class::{Preference, SpeedSet},
};

impl Search<'_> {
    /// Searches the sets of workers by speed in turn, each first within the data rack or one rack.
    /// Outside of it a run takes longer than on a slow worker. Returns the candidates and the searches
    /// that found none.
    pub(crate) fn find_in_sets(
        &self,
        candidates: &Candidates,
        all: &[usize],
        can_spread: bool,
        when: FreeAt,
    ) -> (Vec<usize>, Vec<SearchRequest>) {
        let (mut best, mut failed) = (Vec::new(), Vec::new());
        let has_locality = self.needs_one_rack() || self.step.data_rack.is_some();
        let rounds: &[bool] = if can_spread && has_locality {
            &[false, true]
        } else {
            &[false]
        };
        for spread in rounds.iter().copied() {
            for set in self.sets() {
                let one_rack = self.needs_one_rack() && !spread;
                let req = self.request(when, one_rack, *set);
                if candidates.has_failed(&req) {
                    continue;
                }
                let members = self.of_set(candidates, all, *set);
                let found = if spread {
                    self.pack(candidates, &members, when)
                } else {
                    self.find_preferred(candidates, &members, when)
                };
                if found.len() == self.unit.tasks.len() {
                    return (found, failed);
                }
                // Among the slow workers, those on which the unit ends late were left out.
                if found.is_empty() && *set != SpeedSet::Slow {
                    failed.push(req);
                }
                if found.len() > best.len() {
                    best = found;
                }
            }
        }
        (best, failed)
    }

    /// Returns the sets of workers by speed that the search tries in turn.
    pub(crate) fn sets(&self) -> &'static [SpeedSet] {
        self.unit.preference.sets(self.unit.all_or_nothing)
    }

    /// Returns the members of a set of workers by speed. Slow ones on which the unit ends later than it
    /// needs to are left out of the set of slow workers.
    fn of_set<'a>(
        &self,
        candidates: &Candidates,
        all: &'a [usize],
        set: SpeedSet,
    ) -> Cow<'a, [usize]> {
        if set == SpeedSet::Any {
            return Cow::Borrowed(all);
        }
        let is_member =
            |c: &Candidate| set.contains(c.speed) && self.rank(c) <= Preference::LAST_GOOD_RANK;
        let members = all.iter().copied();
        members.filter(|i| is_member(&candidates.all[*i])).collect()
    }

    /// Returns the rank of a candidate by its speed; the lowest is used first.
    pub(crate) fn rank(&self, candidate: &Candidate) -> u8 {
        let factor = candidate.slowness.factor;
        self.unit.preference.rank(candidate.speed, factor)
    }

    /// Returns the members of `all` that the unit may use at its present wait.
    pub(crate) fn allowed<'a>(
        &self,
        candidates: &Candidates,
        all: &'a [usize],
    ) -> Cow<'a, [usize]> {
        let set = if self.unit.preference.excludes_slow() {
            SpeedSet::NotSlow
        } else {
            SpeedSet::Any
        };
        self.of_set(candidates, all, set)
    }
}
