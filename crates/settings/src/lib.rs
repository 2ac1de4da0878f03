//! Reads settings from JSON with comments, fills in defaults, and reports which value is invalid.

use base::clock::Millis;
use derive_more::{Display, Error};
use serde::{Serialize, de::DeserializeOwned};
use serde_json::Value;

/// Reason why settings are rejected.
#[derive(Clone, Debug, Display, Eq, PartialEq, Error)]
pub enum CfgError {
    /// The text is not valid JSON with comments.
    #[display("settings: not JSON with comments: {reason}")]
    Syntax {
        /// Message of the parser, with the position.
        reason: String,
    },
    /// A setting is unknown or its value is invalid.
    #[display("settings: {path}: invalid value {value}: {problem}")]
    Value {
        /// Path of the value, such as `lease.hold_ms`.
        path: String,
        /// The value found, as JSON.
        value: String,
        /// What is wrong with the value.
        problem: String,
    },
}

/// Reads settings; a setting that is absent has its default value.
///
/// # Errors
///
/// Returns the path of the first invalid value, the value and what is wrong with it.
///
/// ```
/// # use serde::{Deserialize, Serialize};
/// #[derive(Debug, Default, Deserialize, Serialize)]
/// struct Cfg {
///     port: u16,
/// }
/// assert_eq!(settings::read::<Cfg>("{ port: 80 /* HTTP */ }").unwrap().port, 80);
/// let e = settings::read::<Cfg>("{ prot: 80 }").unwrap_err();
/// assert_eq!(e.to_string(), "settings: prot: invalid value 80: unknown setting");
/// ```
pub fn read<T: Default + DeserializeOwned + Serialize>(text: &str) -> Result<T, CfgError> {
    let overrides: Value = json5::from_str(text).map_err(|e| CfgError::Syntax {
        reason: e.to_string(),
    })?;
    let mut merged = defaults::<T>();
    merge::<T>(&mut merged, &overrides, "")?;
    parse(&merged).map_err(|problem| invalid_value("", &overrides, problem))
}

fn defaults<T: Default + Serialize>() -> Value {
    serde_json::to_value(T::default()).expect("defaults can be represented as JSON")
}

/// Copies every leaf of `overrides` into `merged` and checks that it has the type that `T` expects.
fn merge<T>(merged: &mut Value, overrides: &Value, path: &str) -> Result<(), CfgError>
where
    T: Default + DeserializeOwned + Serialize,
{
    let Value::Object(fields) = overrides else {
        return Err(invalid_value(path, overrides, "must be an object".into()));
    };
    for (name, value) in fields {
        let path = if path.is_empty() {
            name.clone()
        } else {
            format!("{path}.{name}")
        };
        let Some(slot) = merged.get_mut(name) else {
            return Err(invalid_value(&path, value, "unknown setting".into()));
        };
        if slot.is_object() {
            merge::<T>(slot, value, &path)?;
            continue;
        }
        check_leaf::<T>(&path, value)?;
        *slot = value.clone();
    }
    Ok(())
}

/// Checks the type of one value by parsing the defaults with this value in place.
fn check_leaf<T>(path: &str, value: &Value) -> Result<(), CfgError>
where
    T: Default + DeserializeOwned + Serialize,
{
    let mut candidate = defaults::<T>();
    let pointer = format!("/{}", path.replace('.', "/"));
    if let Some(slot) = candidate.pointer_mut(&pointer) {
        *slot = value.clone();
    }
    parse::<T>(&candidate).map_err(|problem| invalid_value(path, value, problem))?;
    Ok(())
}

fn parse<T: DeserializeOwned>(value: &Value) -> Result<T, String> {
    serde_json::from_value(value.clone()).map_err(|e| e.to_string())
}

/// Returns the error for an invalid value.
///
/// ```
/// let e = settings::invalid_value("a.b", &serde_json::json!(0), "must be at least 1".into());
/// assert_eq!(e.to_string(), "settings: a.b: invalid value 0: must be at least 1");
/// ```
pub fn invalid_value(path: &str, value: &Value, problem: String) -> CfgError {
    CfgError::Value {
        path: path.into(),
        value: value.to_string(),
        problem,
    }
}

/// Checks that a duration is shorter than another.
///
/// # Errors
///
/// Returns an error that names `than` and `limit` if `value` is not less than `limit`.
///
/// ```
/// use base::clock::Millis;
/// assert!(settings::check_less("a", Millis(1), "b", Millis(2)).is_ok());
/// assert!(settings::check_less("a", Millis(2), "b", Millis(2)).is_err());
/// ```
pub fn check_less(path: &str, value: Millis, than: &str, limit: Millis) -> Result<(), CfgError> {
    if value < limit {
        return Ok(());
    }
    let problem = format!("must be less than {than} ({})", limit.0);
    Err(invalid_value(path, &value.0.into(), problem))
}
