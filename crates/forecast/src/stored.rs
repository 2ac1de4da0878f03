//! Stored form of a forecast.

use serde::{Deserialize, Serialize};

/// What a forecast passes on to the next leader.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct Stored {}
