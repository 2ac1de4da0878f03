//! Reads settings from JSON with comments over defaults, and names what is not acceptable.

use base::clock::Millis;
use derive_more::{Display, Error};
use serde::{Serialize, de::DeserializeOwned};
use serde_json::Value;

/// Why settings are refused.
#[derive(Clone, Debug, Display, Eq, PartialEq, Error)]
pub enum CfgError {
    /// The text is no JSON with comments.
    #[display("settings: not JSON with comments: {reason}")]
    Syntax {
        /// Where and why.
        reason: String,
    },
    /// One value is not acceptable.
    #[display("settings: {path}: found {value}, expected {expected}")]
    Value {
        /// Path of the value, such as `lease.hold_ms`.
        path: String,
        /// The value as JSON.
        value: String,
        /// What is accepted.
        expected: String,
    },
}

/// Reads settings; values that are left out have their defaults.
///
/// # Errors
///
/// Returns the path, the value and what was expected for the first value that is not acceptable.
///
/// ```
/// # use serde::{Deserialize, Serialize};
/// #[derive(Debug, Default, Deserialize, Serialize)]
/// struct Cfg {
///     port: u16,
/// }
/// assert_eq!(settings::read::<Cfg>("{ port: 80 /* HTTP */ }").unwrap().port, 80);
/// let e = settings::read::<Cfg>("{ prot: 80 }").unwrap_err();
/// assert_eq!(e.to_string(), "settings: prot: found 80, expected no such setting");
/// ```
pub fn read<T: Default + DeserializeOwned + Serialize>(text: &str) -> Result<T, CfgError> {
    let given: Value = json5::from_str(text).map_err(|e| CfgError::Syntax {
        reason: e.to_string(),
    })?;
    let mut all = defaults::<T>();
    merge::<T>(&mut all, &given, "")?;
    parse(&all).map_err(|expected| wrong("", &given, expected))
}

fn defaults<T: Default + Serialize>() -> Value {
    serde_json::to_value(T::default()).expect("defaults are JSON")
}

/// Sets every leaf of `given` in `all` and checks that the result is still of the right type.
fn merge<T>(all: &mut Value, given: &Value, path: &str) -> Result<(), CfgError>
where
    T: Default + DeserializeOwned + Serialize,
{
    let Value::Object(fields) = given else {
        return Err(wrong(path, given, "an object".into()));
    };
    for (name, value) in fields {
        let path = if path.is_empty() {
            name.clone()
        } else {
            format!("{path}.{name}")
        };
        let Some(slot) = all.get_mut(name) else {
            return Err(wrong(&path, value, "no such setting".into()));
        };
        if slot.is_object() {
            merge::<T>(slot, value, &path)?;
            continue;
        }
        leaf::<T>(&path, value)?;
        *slot = value.clone();
    }
    Ok(())
}

/// Checks one value by putting it into the defaults.
fn leaf<T>(path: &str, value: &Value) -> Result<(), CfgError>
where
    T: Default + DeserializeOwned + Serialize,
{
    let mut probe = defaults::<T>();
    let pointer = format!("/{}", path.replace('.', "/"));
    if let Some(slot) = probe.pointer_mut(&pointer) {
        *slot = value.clone();
    }
    parse::<T>(&probe).map_err(|expected| wrong(path, value, expected))?;
    Ok(())
}

fn parse<T: DeserializeOwned>(value: &Value) -> Result<T, String> {
    serde_json::from_value(value.clone()).map_err(|e| e.to_string())
}

/// Returns the refusal of one value.
///
/// ```
/// let e = settings::wrong("a.b", &serde_json::json!(0), "at least 1".into());
/// assert_eq!(e.to_string(), "settings: a.b: found 0, expected at least 1");
/// ```
pub fn wrong(path: &str, value: &Value, expected: String) -> CfgError {
    CfgError::Value {
        path: path.into(),
        value: value.to_string(),
        expected,
    }
}

/// Checks that one span is shorter than another.
///
/// ```
/// use base::clock::Millis;
/// assert!(settings::less("a", Millis(1), "b", Millis(2)).is_ok());
/// assert!(settings::less("a", Millis(2), "b", Millis(2)).is_err());
/// ```
pub fn less(path: &str, value: Millis, than: &str, limit: Millis) -> Result<(), CfgError> {
    if value < limit {
        return Ok(());
    }
    let expected = format!("less than {than} ({})", limit.0);
    Err(wrong(path, &value.0.into(), expected))
}
