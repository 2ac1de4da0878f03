//! Names of organisations, jobs, workers and other objects.

use std::{borrow, str, sync};

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::limits;

/// A validated name that is cheap to clone.
///
/// ```
/// use base::name::Name;
///
/// let name: Name = "rain-refund".parse().unwrap();
/// assert_eq!(name.as_str(), "rain-refund");
/// assert!("Rain Refund".parse::<Name>().is_err());
/// ```
#[derive(Clone, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(try_from = "String")]
pub struct Name(sync::Arc<str>);

/// Reason why a string is not a valid name.
#[derive(Clone, Debug, Display, Eq, PartialEq, Error)]
pub enum NameError {
    /// The string is empty or too long.
    #[display(
        "a name has 1 to {} characters, this one has {len}",
        limits::NAME_BYTES
    )]
    Length {
        /// Length in bytes.
        len: usize,
    },
    /// The string contains a character that is not allowed in names.
    #[display("a name has only a-z, 0-9 and '-', this one has '{found}'")]
    Character {
        /// The first such character.
        found: char,
    },
}

impl Name {
    /// Returns the name as a string slice.
    ///
    /// ```
    /// let name: base::name::Name = "a".parse().unwrap();
    /// assert_eq!(name.as_str(), "a");
    /// ```
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl str::FromStr for Name {
    type Err = NameError;

    fn from_str(s: &str) -> Result<Self, NameError> {
        if s.is_empty() || s.len() > limits::NAME_BYTES {
            return Err(NameError::Length { len: s.len() });
        }
        let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
        match s.chars().find(|c| !allowed(*c)) {
            Some(found) => Err(NameError::Character { found }),
            None => Ok(Self(s.into())),
        }
    }
}

impl TryFrom<String> for Name {
    type Error = NameError;

    fn try_from(s: String) -> Result<Self, NameError> {
        s.parse()
    }
}

impl AsRef<str> for Name {
    fn as_ref(&self) -> &str {
        &self.0
    }
}

impl borrow::Borrow<str> for Name {
    fn borrow(&self) -> &str {
        &self.0
    }
}
