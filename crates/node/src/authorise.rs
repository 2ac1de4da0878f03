//! Routing and authorisation of callers' requests.

use std::rc::Rc;

use base::clock::Millis;
use batch::{
    config::{Config, Queue},
    job::Text,
};
use ntex::http::{HeaderMap, Request, header};

use crate::{cx::Cx, refusal::Refusal};

/// Maximum age of a usable configuration, in percent of the revocation time. The remainder allows
/// for the time that a request takes to reach the store.
const MAX_AGE_PERCENT: u64 = 75;

/// An authorised request.
#[derive(Clone, Debug)]
pub(crate) struct Authorised {
    pub(crate) queue: Queue,
    /// Organisation of the caller; `None` on a public queue if the request has no valid key.
    pub(crate) organisation: Option<Text>,
    /// Request path after the prefix of the queue: the id of a job, or empty.
    pub(crate) path_suffix: String,
}

/// Finds the queue of a request and checks the API key of its caller.
pub(crate) fn authorise(cx: &Cx, req: &Request) -> Result<Authorised, Refusal> {
    let config = fresh_config(cx)?;
    let queue = route(&config, req)?;
    let organisation = organisation(&config, &queue, req.headers())?;
    let path_suffix = req.path()[queue.path_prefix.len()..].to_owned();
    Ok(Authorised {
        queue,
        organisation,
        path_suffix,
    })
}

/// Returns the configuration if it was confirmed recently enough: an entry that can't reach the
/// store must not accept a key that may have been removed.
fn fresh_config(cx: &Cx) -> Result<Rc<Config>, Refusal> {
    let limit = Millis(cx.cfg.revoke_ms.0 * MAX_AGE_PERCENT / 100);
    match cx.config_age() {
        Some(age) if age < limit => Ok(cx.config()),
        _ => Err(Refusal::ConfigAge),
    }
}

fn route(config: &Config, req: &Request) -> Result<Queue, Refusal> {
    let host = req
        .headers()
        .get(header::HOST)
        .and_then(|h| h.to_str().ok());
    let host = host.unwrap_or_default();
    let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
    config
        .route(host, req.path())
        .cloned()
        .ok_or(Refusal::NoQueue)
}

fn organisation(
    config: &Config,
    queue: &Queue,
    headers: &HeaderMap,
) -> Result<Option<Text>, Refusal> {
    let value = headers
        .get(header::AUTHORIZATION)
        .and_then(|h| h.to_str().ok());
    let key = value.and_then(|v| v.strip_prefix("Bearer ")).map(str::trim);
    let found = key.and_then(|k| config.organisation_by_key(k));
    match found {
        Some(organisation) => Ok(Some(organisation.name.clone())),
        None if queue.public => Ok(None),
        None => Err(Refusal::Key),
    }
}
