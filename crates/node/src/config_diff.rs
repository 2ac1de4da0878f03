//! What a new version of the configuration changes, for the log.

use std::collections::{BTreeMap, BTreeSet};

use batch::{
    config::{Config, Queue},
    job::Text,
};

/// Maximum number of names in a field of a log line.
const MAX_NAMES: usize = 8;

/// Differences between two versions of the configuration.
#[derive(Debug, Eq, PartialEq)]
pub(crate) struct ConfigDiff {
    pub(crate) added_queues: usize,
    pub(crate) removed_queues: usize,
    /// Queues of the same name with other settings.
    pub(crate) changed_queues: usize,
    /// Names of the first of these queues.
    pub(crate) names: String,
    pub(crate) added_keys: usize,
    pub(crate) removed_keys: usize,
    /// Whether the limits or the services differ.
    pub(crate) other: bool,
}

impl ConfigDiff {
    pub(crate) fn new(before: &Config, after: &Config) -> Self {
        let (queues_before, queues_after) = (queues(before), queues(after));
        let added = missing_in(&queues_after, &queues_before);
        let removed = missing_in(&queues_before, &queues_after);
        let is_changed = |q: &&Queue| queues_before.get(&q.name).is_some_and(|b| b != q);
        let changed: Vec<&Queue> = after.queues.iter().filter(is_changed).collect();
        let all = added.iter().chain(&removed).chain(&changed);
        let names: Vec<&str> = all.map(|q| &*q.name).take(MAX_NAMES).collect();
        let (keys_before, keys_after) = (keys(before), keys(after));
        Self {
            added_queues: added.len(),
            removed_queues: removed.len(),
            changed_queues: changed.len(),
            names: names.join(" "),
            added_keys: keys_after.difference(&keys_before).count(),
            removed_keys: keys_before.difference(&keys_after).count(),
            other: before.max_body_bytes != after.max_body_bytes
                || before.services_without_admission_check
                    != after.services_without_admission_check,
        }
    }
}

fn queues(config: &Config) -> BTreeMap<&Text, &Queue> {
    config.queues.iter().map(|q| (&q.name, q)).collect()
}

/// Returns the queues whose names are not in `others`.
fn missing_in<'a>(
    queues: &BTreeMap<&Text, &'a Queue>,
    others: &BTreeMap<&Text, &Queue>,
) -> Vec<&'a Queue> {
    let missing = queues
        .iter()
        .filter(|(name, _)| !others.contains_key(*name));
    missing.map(|(_, queue)| *queue).collect()
}

/// Returns the API keys with their organisations.
fn keys(config: &Config) -> BTreeSet<(&Text, &Text)> {
    let organisations = config.organisations.iter();
    organisations
        .flat_map(|o| o.api_keys.iter().map(move |key| (&o.name, key)))
        .collect()
}
