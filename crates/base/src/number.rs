//! Whole numbers in any form of a JSON number, such as `6`, `6.0`, `6e0` or, rounded, `6.5`.

use std::fmt;

use derive_more::From;
use serde::{
    Deserialize, Deserializer,
    de::{self, Unexpected, Visitor},
};

/// Maximum of a number with a fraction or an exponent: floating-point numbers up to it represent each
/// integer exactly.
pub const MAX_EXACT: u64 = 1 << 53;

/// Distance from a whole number that is taken for an error of floating-point arithmetic.
const MAX_ERROR: f64 = 1e-6;

/// A number without a fraction.
///
/// ```
/// use base::number::Whole;
/// let parse = |text| serde_json::from_str::<Whole<u32>>(text).map(|n| n.0);
/// assert_eq!((parse("6").unwrap(), parse("6.0").unwrap(), parse("6e2").unwrap()), (6, 6, 600));
/// assert!(parse("6.5").is_err() && parse("-6").is_err() && parse("6e9").is_err());
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, From, PartialEq)]
pub struct Whole<T = u64>(pub T);

/// A number that is rounded down.
///
/// ```
/// use base::number::Floor;
/// assert_eq!(serde_json::from_str::<Floor>("6.5").unwrap().0, 6);
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, From, PartialEq)]
pub struct Floor<T = u64>(pub T);

/// A number that is rounded up.
///
/// ```
/// use base::number::Ceil;
/// assert_eq!(serde_json::from_str::<Ceil>("6.5").unwrap().0, 7);
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, From, PartialEq)]
pub struct Ceil<T = u64>(pub T);

#[derive(Clone, Copy)]
enum Rounding {
    None,
    Down,
    Up,
}

impl Rounding {
    fn apply(self, n: f64) -> Option<u64> {
        if !(0.0..=MAX_EXACT as f64).contains(&n) {
            return None;
        }
        let nearest = n.round();
        let rounded = match self {
            _ if (n - nearest).abs() < MAX_ERROR => nearest,
            Self::None => return None,
            Self::Down => n.floor(),
            Self::Up => n.ceil(),
        };
        Some(rounded as u64)
    }
}

impl Visitor<'_> for Rounding {
    type Value = u64;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = match self {
            Self::None => "a whole number",
            Self::Down | Self::Up => "a number",
        };
        write!(f, "{kind} that is not negative")
    }

    fn visit_u64<E: de::Error>(self, n: u64) -> Result<u64, E> {
        Ok(n)
    }

    fn visit_i64<E: de::Error>(self, n: i64) -> Result<u64, E> {
        u64::try_from(n).map_err(|_| E::invalid_value(Unexpected::Signed(n), &self))
    }

    fn visit_f64<E: de::Error>(self, n: f64) -> Result<u64, E> {
        let rounded = self.apply(n);
        rounded.ok_or_else(|| E::invalid_value(Unexpected::Float(n), &self))
    }
}

fn read<'de, T, D>(deserializer: D, rounding: Rounding) -> Result<T, D::Error>
where
    T: TryFrom<u64>,
    D: Deserializer<'de>,
{
    let n = deserializer.deserialize_any(rounding)?;
    let too_great = |_| de::Error::invalid_value(Unexpected::Unsigned(n), &"a smaller number");
    T::try_from(n).map_err(too_great)
}

impl<'de, T: TryFrom<u64>> Deserialize<'de> for Whole<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        read(deserializer, Rounding::None).map(Self)
    }
}

impl<'de, T: TryFrom<u64>> Deserialize<'de> for Floor<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        read(deserializer, Rounding::Down).map(Self)
    }
}

impl<'de, T: TryFrom<u64>> Deserialize<'de> for Ceil<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        read(deserializer, Rounding::Up).map(Self)
    }
}

/// Parses a number outside of JSON, such as the value of a header, and rounds it down.
///
/// ```
/// use base::number;
/// assert_eq!((number::parse_floor("1500"), number::parse_floor("1500.5")), (Some(1_500), Some(1_500)));
/// assert_eq!((number::parse_floor("soon"), number::parse_floor("-1")), (None, None));
/// ```
pub fn parse_floor(text: &str) -> Option<u64> {
    let rounded = || Rounding::Down.apply(text.parse().ok()?);
    text.parse().ok().or_else(rounded)
}

/// Reads a field that is rounded down, for `deserialize_with`.
///
/// # Errors
///
/// Returns an error if the value is not a number, is negative or is too great.
///
/// ```
/// #[derive(serde::Deserialize)]
/// struct Cfg {
///     #[serde(deserialize_with = "base::number::floor")]
///     drain_ms: u64,
/// }
/// let cfg: Cfg = serde_json::from_str(r#"{"drain_ms":2e3}"#).unwrap();
/// assert_eq!(cfg.drain_ms, 2_000);
/// ```
pub fn floor<'de, T: TryFrom<u64>, D: Deserializer<'de>>(deserializer: D) -> Result<T, D::Error> {
    read(deserializer, Rounding::Down)
}

/// Reads a field that may be `null` and is rounded down, for `deserialize_with`.
///
/// # Errors
///
/// Returns an error if the value is neither `null` nor a number, is negative or is too great.
///
/// ```
/// #[derive(serde::Deserialize)]
/// struct Cfg {
///     #[serde(deserialize_with = "base::number::floor_option")]
///     max_fds: Option<usize>,
/// }
/// let cfg: Cfg = serde_json::from_str(r#"{"max_fds":4100.0}"#).unwrap();
/// assert_eq!(cfg.max_fds, Some(4_100));
/// ```
pub fn floor_option<'de, T, D>(deserializer: D) -> Result<Option<T>, D::Error>
where
    T: TryFrom<u64>,
    D: Deserializer<'de>,
{
    let n = Option::<Floor<T>>::deserialize(deserializer)?;
    Ok(n.map(|n| n.0))
}

/// Reads a field that is rounded up, for `deserialize_with`.
///
/// # Errors
///
/// Returns an error if the value is not a number, is negative or is too great.
///
/// ```
/// #[derive(serde::Deserialize)]
/// struct Cfg {
///     #[serde(deserialize_with = "base::number::ceil")]
///     stop_ms: u64,
/// }
/// let cfg: Cfg = serde_json::from_str(r#"{"stop_ms":0.5}"#).unwrap();
/// assert_eq!(cfg.stop_ms, 1);
/// ```
pub fn ceil<'de, T: TryFrom<u64>, D: Deserializer<'de>>(deserializer: D) -> Result<T, D::Error> {
    read(deserializer, Rounding::Up)
}
