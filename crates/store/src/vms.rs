//! Client of the VM list.

use ntex::{
    http::{Method, StatusCode},
    util::Bytes,
};
use serde::{Deserialize, Serialize};

use crate::{
    caller::{Caller, Failure},
    http::{parse, refused},
    http_cfg::HttpCfg,
    table::StoreError,
    vm::Vm,
};

/// Body of the answer to `GET /vms`.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct VmList {
    /// The VMs, in no particular order.
    pub vms: Vec<Vm>,
}

/// Client of the VM list; clones share its connections.
///
/// ```no_run
/// use store::{http_cfg::HttpCfg, vms::Vms};
///
/// # async fn run() -> Result<(), store::table::StoreError> {
/// let vms = Vms::new("http://127.0.0.1:7000", HttpCfg::default()).await?;
/// println!("{} VMs", vms.list().await?.len());
/// # Ok(())
/// # }
/// ```
#[derive(Clone, Debug)]
pub struct Vms {
    caller: Caller,
}

impl Vms {
    /// Makes a client of the VM list at `base_url`; no connection is opened yet.
    pub async fn new(base_url: &str, cfg: HttpCfg) -> Result<Self, StoreError> {
        let caller = Caller::new(base_url, cfg).await?;
        Ok(Self { caller })
    }

    /// Reads the list, which lags behind the actual state.
    pub async fn list(&self) -> Result<Vec<Vm>, StoreError> {
        let req = self.caller.request(Method::GET, "/vms");
        let answer = self.caller.call(req, Bytes::new()).await;
        let answer = answer.map_err(Failure::of_read)?;
        match answer.status {
            StatusCode::OK => parse::<VmList>(&answer).map(|l| l.vms),
            _ => Err(refused(&answer)),
        }
    }
}
