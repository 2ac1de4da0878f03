//! Stored form of a forecast.

use serde::{Deserialize, Serialize};

use crate::{Name, observation::Kind};

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
    /// covariance; weight and mean of the variance within steps.
    #[serde(rename = "r")]
    pub regression: [f32; 8],
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
