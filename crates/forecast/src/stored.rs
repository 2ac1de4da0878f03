//! Stored form of a forecast.

use base::sorted::SortedMap;
use serde::{Deserialize, Serialize};

use crate::{Name, observation::Kind};

/// Hundredths of a logarithm that are a change: 15%.
const CHANGE: u16 = 14;

/// What a forecast passes on to the next leader.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct Stored {
    /// Workers that are known to differ from the typical one.
    #[serde(rename = "w", skip_serializing_if = "Vec::is_empty")]
    pub workers: Vec<StoredWorker>,
    /// Services with the number of workers that are known to be typical.
    #[serde(rename = "s", skip_serializing_if = "Vec::is_empty")]
    pub services: Vec<(Name, u32)>,
    /// Kinds with the sums of their regressions.
    #[serde(rename = "k", skip_serializing_if = "Vec::is_empty")]
    pub kinds: Vec<StoredKind>,
}

impl Stored {
    /// Returns whether a speed or a correction differs from that of `earlier` by more than 15%, so
    /// that it is worth writing again.
    ///
    /// ```
    /// use forecast::stored::{Stored, StoredWorker};
    /// let of = |log| Stored {
    ///     workers: vec![StoredWorker("w".into(), log, 20)],
    ///     ..Stored::default()
    /// };
    /// assert!(of(53).differs_from(&Stored::default()));
    /// assert!(of(53).differs_from(&of(20)));
    /// assert!(!of(53).differs_from(&of(50)));
    /// ```
    pub fn differs_from(&self, earlier: &Self) -> bool {
        let logs = |s: &Self| -> SortedMap<Name, i16> {
            s.workers.iter().map(|w| (w.0.clone(), w.1)).collect()
        };
        let (new, old) = (logs(self), logs(earlier));
        let differs = |a: &SortedMap<Name, i16>, b: &SortedMap<Name, i16>| {
            // A worker that isn't listed is within 15% of the typical one.
            a.iter().any(|(name, log)| {
                let other = b.get(name).copied().unwrap_or(0);
                log.abs_diff(other) > CHANGE
            })
        };
        let known = |kind: &StoredKind| {
            let same = earlier.kinds.iter().find(|k| k.kind() == kind.kind());
            same.is_some_and(|k| {
                (k.regression[2] - kind.regression[2]).abs() * 100.0 <= CHANGE.into()
            })
        };
        differs(&new, &old) || differs(&old, &new) || !self.kinds.iter().all(known)
    }
}

/// Id of a worker, hundredths of the logarithm of its factor, and the precision of the logarithm.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct StoredWorker(pub Name, pub i16, pub u8);

/// Regression of a kind.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct StoredKind {
    /// Queue of the jobs.
    #[serde(rename = "q", skip_serializing_if = "Option::is_none")]
    pub queue: Option<Name>,
    /// Image that the subtasks run.
    #[serde(rename = "i", skip_serializing_if = "Option::is_none")]
    pub image: Option<Name>,
    /// Whether the subtasks form a gang.
    #[serde(rename = "g", skip_serializing_if = "std::ops::Not::not")]
    pub gang: bool,
    /// Weight of the steps; means of ln(estimate) and ln(run time / estimate); their variances and
    /// covariance; mean variance with which the steps are known; weight and mean of the variance within steps.
    #[serde(rename = "r")]
    pub regression: [f32; 9],
}

impl StoredKind {
    pub(crate) fn kind(&self) -> Kind {
        Kind {
            queue: self.queue.clone(),
            image: self.image.clone(),
            gang: self.gang,
        }
    }
}
