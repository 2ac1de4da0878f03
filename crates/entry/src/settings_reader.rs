//! Reads and validates settings; each error names the path, the value found and what was expected.

use std::{net, ops::RangeInclusive, str};

use base::clock::Millis;
use derive_more::{Display, Error};
use serde_json::{Map, Value};

/// An invalid setting.
#[derive(Clone, Debug, Display, Eq, PartialEq, Error)]
#[display("{path}: {found} can't be used, expected {expected}")]
pub struct CfgError {
    /// Path of the setting, for example `operators[0].name`.
    pub path: String,
    /// The value found, as JSON text.
    pub found: String,
    /// What was expected there.
    pub expected: String,
}

impl CfgError {
    /// Creates an error about `value` at `path`.
    ///
    /// ```
    /// use entry::settings_reader::CfgError;
    /// let e = CfgError::new("listen", &serde_json::json!(1), "an address");
    /// assert_eq!(e.to_string(), "listen: 1 can't be used, expected an address");
    /// ```
    pub fn new(path: impl Into<String>, value: &Value, expected: impl Into<String>) -> Self {
        Self {
            path: path.into(),
            found: value.to_string(),
            expected: expected.into(),
        }
    }
}

/// Reads one settings object and keeps track of the fields that have not been read yet.
///
/// ```
/// use entry::settings_reader::SettingsReader;
/// let mut reader = SettingsReader::new("", serde_json::json!({"port": 70000})).unwrap();
/// let e = reader.number("port", 80, 1..=65535).unwrap_err();
/// assert_eq!(e.to_string(), "port: 70000 can't be used, expected a whole number from 1 to 65535");
/// ```
#[derive(Debug)]
pub struct SettingsReader {
    path: String,
    unread: Map<String, Value>,
}

impl SettingsReader {
    /// Starts reading the object `value` at `path`.
    pub fn new(path: impl Into<String>, value: Value) -> Result<Self, CfgError> {
        let path = path.into();
        match value {
            Value::Object(unread) => Ok(Self { path, unread }),
            other => Err(CfgError::new(path, &other, "an object")),
        }
    }

    /// Reads a whole number in `range`; returns `default` if the setting is absent.
    pub fn number(
        &mut self,
        name: &str,
        default: u64,
        range: RangeInclusive<u64>,
    ) -> Result<u64, CfgError> {
        let Some(value) = self.unread.remove(name) else {
            return Ok(default);
        };
        let number = value.as_u64().filter(|n| range.contains(n));
        number.ok_or_else(|| {
            let expected = format!("a whole number from {} to {}", range.start(), range.end());
            CfgError::new(self.path(name), &value, expected)
        })
    }

    /// Reads a duration in milliseconds; returns `default` if the setting is absent.
    pub fn millis(
        &mut self,
        name: &str,
        default: Millis,
        range: RangeInclusive<u64>,
    ) -> Result<Millis, CfgError> {
        self.number(name, default.0, range).map(Millis)
    }

    /// Parses a string as `T`; returns `default` if the setting is absent.
    pub fn parsed<T: str::FromStr>(
        &mut self,
        name: &str,
        default: T,
        expected: &str,
    ) -> Result<T, CfgError> {
        match self.unread.remove(name) {
            None => Ok(default),
            Some(value) => parse(self.path(name), &value, expected),
        }
    }

    /// Parses a required string as `T`; a missing one is reported as `null`.
    pub fn required<T: str::FromStr>(&mut self, name: &str, expected: &str) -> Result<T, CfgError> {
        let value = self.unread.remove(name).unwrap_or(Value::Null);
        parse(self.path(name), &value, expected)
    }

    /// Reads a list, which is empty by default, and returns each item with its path.
    pub fn list(&mut self, name: &str) -> Result<Vec<(String, Value)>, CfgError> {
        let path = self.path(name);
        match self.unread.remove(name) {
            None => Ok(Vec::new()),
            Some(Value::Array(items)) => {
                let numbered = items.into_iter().enumerate();
                Ok(numbered.map(|(i, v)| (format!("{path}[{i}]"), v)).collect())
            }
            Some(other) => Err(CfgError::new(path, &other, "a list")),
        }
    }

    /// Reads a list of socket addresses, which is empty by default.
    pub fn addresses(&mut self, name: &str) -> Result<Vec<net::SocketAddr>, CfgError> {
        let items = self.list(name)?;
        let addresses = items.into_iter();
        addresses
            .map(|(path, value)| parse(path, &value, EXPECTED_ADDRESS))
            .collect()
    }

    /// Returns an error if the object has an unknown field.
    pub fn finish(self) -> Result<(), CfgError> {
        match self.unread.iter().next() {
            None => Ok(()),
            Some((name, value)) => Err(CfgError::new(self.path(name), value, "a known setting")),
        }
    }

    fn path(&self, name: &str) -> String {
        if self.path.is_empty() {
            name.to_owned()
        } else {
            format!("{}.{name}", self.path)
        }
    }
}

/// Description of a valid address in error messages.
pub const EXPECTED_ADDRESS: &str = "an IP address with a port, such as \"127.0.0.1:7000\"";

fn parse<T: str::FromStr>(path: String, value: &Value, expected: &str) -> Result<T, CfgError> {
    let parsed = value.as_str().and_then(|s| s.parse().ok());
    parsed.ok_or_else(|| CfgError::new(path, value, expected))
}
