//! Reads settings from JSON with comments, fills in defaults, and reports which value is invalid.

use base::{clock::Millis, number::Whole};
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

/// Settings of which some may have been replaced by their defaults.
#[derive(Clone, Debug)]
pub struct Replaced<T> {
    /// The settings.
    pub settings: T,
    /// Errors of the values that were replaced.
    pub problems: Vec<CfgError>,
}

/// Reads settings; a setting that is absent has its default value. A duration `x_ms` may be given in
/// seconds as `x_s`.
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
    read_replacing(text, &[]).map(|replaced| replaced.settings)
}

/// Reads settings as [`read`] does, but an invalid value of one of the settings with the paths
/// `replaceable`, which are sorted, is replaced by its default.
///
/// # Errors
///
/// Returns the path of the first other invalid value, the value and what is wrong with it.
///
/// ```
/// # use serde::{Deserialize, Serialize};
/// #[derive(Debug, Default, Deserialize, Serialize)]
/// struct Cfg {
///     port: u16,
///     #[serde(deserialize_with = "base::number::floor")]
///     grace_ms: u64,
/// }
/// let read = |text| settings::read_replacing::<Cfg>(text, &["grace_ms"]);
/// let cfg = read("{ port: 80, grace_s: 6 }").unwrap();
/// assert_eq!((cfg.settings.grace_ms, cfg.problems.len()), (6_000, 0));
/// let cfg = read("{ port: 80, grace_s: 'long' }").unwrap();
/// assert_eq!((cfg.settings.grace_ms, cfg.problems.len()), (0, 1));
/// assert!(read("{ port: 'http' }").is_err());
/// ```
pub fn read_replacing<T>(text: &str, replaceable: &[&str]) -> Result<Replaced<T>, CfgError>
where
    T: Default + DeserializeOwned + Serialize,
{
    let overrides: Value = json5::from_str(text).map_err(|e| CfgError::Syntax {
        reason: e.to_string(),
    })?;
    let mut merged = defaults::<T>();
    let mut problems = Vec::new();
    let mut on_invalid = |path: &str, e: CfgError| {
        replaceable.binary_search(&path).map_err(|_| e.clone())?;
        problems.push(e);
        Ok(())
    };
    merge::<T>(&mut merged, &overrides, "", &mut on_invalid)?;
    let settings = parse(&merged).map_err(|problem| invalid_value("", &overrides, problem))?;
    Ok(Replaced { settings, problems })
}

fn defaults<T: Default + Serialize>() -> Value {
    serde_json::to_value(T::default()).expect("defaults can be represented as JSON")
}

/// Copies every leaf of `overrides` into `merged` and checks that it has the type that `T` expects. An
/// invalid value, whose path is that of the setting in `T`, is left out if `on_invalid` permits it.
fn merge<T>(
    merged: &mut Value,
    overrides: &Value,
    path: &str,
    on_invalid: &mut dyn FnMut(&str, CfgError) -> Result<(), CfgError>,
) -> Result<(), CfgError>
where
    T: Default + DeserializeOwned + Serialize,
{
    let Value::Object(fields) = overrides else {
        return Err(invalid_value(path, overrides, "must be an object".into()));
    };
    for (name, value) in fields {
        let in_section = |name: &str| match path {
            "" => name.to_owned(),
            path => format!("{path}.{name}"),
        };
        let path = in_section(name);
        let seconds_of = name.strip_suffix("_s").map(|stem| format!("{stem}_ms"));
        let seconds_of = seconds_of.filter(|_| merged.get(name).is_none());
        let target = seconds_of.as_ref().unwrap_or(name);
        let Some(slot) = merged.get_mut(target) else {
            return Err(invalid_value(&path, value, "unknown setting".into()));
        };
        if slot.is_object() {
            merge::<T>(slot, value, &path, on_invalid)?;
            continue;
        }
        if seconds_of.is_some() && fields.contains_key(target) {
            let problem = format!("{target} is given as well");
            return Err(invalid_value(&path, value, problem));
        }
        let target = in_section(target);
        let checked = if seconds_of.is_some() {
            in_milliseconds(value)
        } else {
            Ok(value.clone())
        };
        let checked = checked.and_then(|v| check_leaf::<T>(&target, &v).map(|()| v));
        match checked {
            Ok(value) => *slot = value,
            Err(problem) => on_invalid(&target, invalid_value(&path, value, problem))?,
        }
    }
    Ok(())
}

/// Converts a duration from seconds.
fn in_milliseconds(value: &Value) -> Result<Value, String> {
    let ms = value.as_f64().ok_or("must be a number")? * 1_000.0;
    let whole = serde_json::from_value::<Whole>(ms.into());
    Ok(whole.map_or_else(|_| ms.into(), |ms| ms.0.into()))
}

/// Checks the type of one value by parsing the defaults with this value in place.
fn check_leaf<T>(path: &str, value: &Value) -> Result<(), String>
where
    T: Default + DeserializeOwned + Serialize,
{
    let mut candidate = defaults::<T>();
    let pointer = format!("/{}", path.replace('.', "/"));
    if let Some(slot) = candidate.pointer_mut(&pointer) {
        *slot = value.clone();
    }
    parse::<T>(&candidate).map(drop)
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
