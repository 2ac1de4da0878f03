//! Filters that a request of a caller passes before it is carried out.

use std::rc::Rc;

use base::clock::Millis;
use batch::{
    config::{Config, Queue},
    job::Text,
};
use ntex::http::{HeaderMap, Request, header};

use crate::{cx::Cx, refusal::Refusal};

/// Share of the revocation bound up to which a configuration may be used, in percent; the rest is
/// for the way of the request to the store.
const AGE_PERCENT: u64 = 75;

/// A request that passed all filters.
#[derive(Clone, Debug)]
pub(crate) struct Authorised {
    pub(crate) queue: Queue,
    /// Organisation of the caller; none on a public queue.
    pub(crate) organisation: Option<Text>,
    /// Path behind the prefix of the queue: the id of a job, or empty.
    pub(crate) rest: String,
}

/// Passes a request through all filters.
pub(crate) fn pass(cx: &Cx, req: &Request) -> Result<Authorised, Refusal> {
    let rules = fresh(cx)?;
    let queue = route(&rules, req)?;
    let organisation = organisation(&rules, &queue, req.headers())?;
    let rest = req.path()[queue.path_prefix.len()..].to_owned();
    Ok(Authorised {
        queue,
        organisation,
        rest,
    })
}

/// Returns the configuration if it is young enough: a removed key must not be taken by an entry
/// that has lost the store.
fn fresh(cx: &Cx) -> Result<Rc<Config>, Refusal> {
    let limit = Millis(cx.cfg.revoke_ms.0 * AGE_PERCENT / 100);
    match cx.config_age() {
        Some(age) if age < limit => Ok(cx.rules()),
        _ => Err(Refusal::ConfigAge),
    }
}

fn route(rules: &Config, req: &Request) -> Result<Queue, Refusal> {
    let host = req
        .headers()
        .get(header::HOST)
        .and_then(|h| h.to_str().ok());
    let host = host.unwrap_or_default();
    let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
    rules
        .route(host, req.path())
        .cloned()
        .ok_or(Refusal::NoQueue)
}

fn organisation(
    rules: &Config,
    queue: &Queue,
    headers: &HeaderMap,
) -> Result<Option<Text>, Refusal> {
    let value = headers
        .get(header::AUTHORIZATION)
        .and_then(|h| h.to_str().ok());
    let key = value.and_then(|v| v.strip_prefix("Bearer ")).map(str::trim);
    let found = key.and_then(|k| rules.organisation_by_key(k));
    match found {
        Some(organisation) => Ok(Some(organisation.name.clone())),
        None if queue.public => Ok(None),
        None => Err(Refusal::Key),
    }
}
