//! Authentication: access tokens of organisations and operators.

use std::{fmt, str};

use base::{name::Name, sorted::SortedMap};
use derive_more::{Display, Error};
use ntex::http::HeaderMap;
use schema::config::Config;
use sha2::{Digest, Sha256};

use crate::{
    entry_cfg::Operator,
    refusal::{Code, Refusal},
};

/// SHA-256 hash of an access token.
///
/// ```
/// use entry::auth::TokenHash;
/// let hash = TokenHash::of("secret");
/// assert_eq!(hash.to_string().parse(), Ok(hash));
/// ```
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct TokenHash([u8; 32]);

/// Error: the text is not a valid token hash.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("expected 64 hexadecimal digits in lower case")]
pub struct TokenHashError;

impl TokenHash {
    /// Hashes an access token.
    pub fn of(token: &str) -> Self {
        Self(Sha256::digest(token.as_bytes()).into())
    }
}

impl fmt::Display for TokenHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}

impl str::FromStr for TokenHash {
    type Err = TokenHashError;

    fn from_str(s: &str) -> Result<Self, TokenHashError> {
        let is_digit = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        if s.len() != 64 || !s.bytes().all(is_digit) {
            return Err(TokenHashError);
        }
        let mut hash = [0; 32];
        for (i, byte) in hash.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&s[2 * i..2 * i + 2], 16).map_err(|_| TokenHashError)?;
        }
        Ok(Self(hash))
    }
}

/// Authenticated sender of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Identity {
    /// An organisation.
    Organisation(Name),
    /// An operator.
    Operator(Name),
}

/// Organisations by the hashes of their access tokens.
#[derive(Debug, Default)]
pub struct Tokens {
    organisations: SortedMap<TokenHash, Name>,
}

impl Tokens {
    /// Collects the token hashes of all organisations in a configuration.
    pub fn new(config: &Config) -> Self {
        let mut organisations = SortedMap::default();
        for organisation in config.organisations.values() {
            for hash in &organisation.token_hashes {
                match hash.parse::<TokenHash>() {
                    Ok(hash) => {
                        organisations.insert(hash, organisation.name.clone());
                    }
                    Err(e) => {
                        log::warn!(
                            "entry: ignoring an invalid token hash of organisation {}: {e}",
                            organisation.name
                        );
                    }
                }
            }
        }
        Self { organisations }
    }

    /// Returns the identity that the access token in `headers` belongs to.
    pub fn identify(
        &self,
        operators: &[Operator],
        headers: &HeaderMap,
    ) -> Result<Identity, Refusal> {
        let hash = TokenHash::of(token(headers)?);
        if let Some(operator) = operators.iter().find(|o| o.token_hash == hash) {
            return Ok(Identity::Operator(operator.name.clone()));
        }
        match self.organisations.get(&hash) {
            Some(name) => Ok(Identity::Organisation(name.clone())),
            None => Err(unauthorised("the access token is unknown")),
        }
    }
}

fn token(headers: &HeaderMap) -> Result<&str, Refusal> {
    let header = headers
        .get("authorization")
        .ok_or_else(|| unauthorised("the authorization header is missing"))?;
    let text = header.to_str().ok();
    text.and_then(|t| t.strip_prefix("Bearer ")).ok_or_else(|| {
        unauthorised("the authorization header does not have the form \"Bearer TOKEN\"")
    })
}

fn unauthorised(message: &str) -> Refusal {
    Refusal::not_run(Code::Unauthorised, message)
}
