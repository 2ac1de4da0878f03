//! Data centres that the operator has evacuated, as this node knows them.

use base::{
    clock::{self, Millis},
    sorted::SortedMap,
};
use batch::job::Text;
use platform::evacuation;
use store::table::Row;

/// Time for a start to be sent and carried out.
const START_TIME: Millis = Millis(1_500);
/// Minimum of [`NodeCfg::evacuate_ms`](crate::node_cfg::NodeCfg::evacuate_ms). With a lower one, the
/// requests would usually be too old to start anything.
pub(crate) const MIN_EVACUATE_MS: Millis = Millis(2_000);

/// Returns the maximum age of the requests with which a start may be sent, if the operator may
/// evacuate data centres. Below 3,000 ms it is half of the bound, because the requests are read
/// again only about every 800 ms.
pub(crate) fn max_age(evacuate_ms: Option<Millis>) -> Option<Millis> {
    let bound = evacuate_ms?;
    Some(bound.since(START_TIME).max(Millis(bound.0 / 2)))
}

/// The request to evacuate one data centre.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Request {
    /// Version of its row.
    pub(crate) version: u64,
    /// Time when this node first read the row.
    pub(crate) seen_at: Millis,
}

/// The requests that are in force.
#[derive(Debug, Default)]
pub(crate) struct Requests {
    by_zone: SortedMap<Text, Request>,
    /// The names of the data centres, sorted.
    zones: Vec<Text>,
}

impl Requests {
    /// Returns the names of the evacuated data centres, sorted.
    pub(crate) fn zones(&self) -> &[Text] {
        &self.zones
    }

    /// Returns the requests with the names of their data centres, in the order of [`Self::zones`].
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&Text, &Request)> {
        self.by_zone.iter()
    }

    /// Replaces all requests by those among `rows`, which were read together. The rows were last known
    /// `max_age` ago. Returns whether the set of data centres has changed.
    pub(crate) fn replace(&mut self, rows: &[Row], max_age: Option<Millis>) -> bool {
        let mut listed: Vec<&str> = rows.iter().filter_map(evacuation::zone).collect();
        listed.sort_unstable();
        let is_over = |zone: &&Text| listed.binary_search(&&***zone).is_err();
        let over: Vec<Text> = self.zones.iter().filter(is_over).cloned().collect();
        let mut has_changed = false;
        for zone in over {
            has_changed |= self.end(&zone);
        }
        for row in rows {
            has_changed |= self.apply(row, false, max_age);
        }
        has_changed
    }

    /// Applies a row that was read or has changed. Returns whether the set of data centres has changed.
    pub(crate) fn apply(&mut self, row: &Row, deleted: bool, max_age: Option<Millis>) -> bool {
        let Some(zone) = evacuation::zone(row) else {
            return false;
        };
        match self.by_zone.get_mut(zone) {
            Some(_) if deleted => self.end(zone),
            Some(known) => {
                known.version = row.version;
                false
            }
            None if deleted => false,
            None => {
                let request = Request {
                    version: row.version,
                    seen_at: clock::now(),
                };
                log::warn!(zone, row = row.version, max_age_ms = max_age.map(|a| a.0); "evacuation: begins");
                self.by_zone.insert(zone.into(), request);
                self.zones = self.by_zone.keys().cloned().collect();
                true
            }
        }
    }

    /// Ends the evacuation of a data centre.
    fn end(&mut self, zone: &str) -> bool {
        let Some(request) = self.by_zone.remove(zone) else {
            return false;
        };
        let age_ms = clock::now().since(request.seen_at).0;
        log::warn!(zone, row = request.version, age_ms; "evacuation: ends");
        self.zones = self.by_zone.keys().cloned().collect();
        true
    }
}
