//! Client of the VM list.

use ntex::{
    http::{Method, StatusCode},
    util::Bytes,
};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::{
    http::{not_done, parse},
    http_cfg::HttpCfg,
    http_client::{CallError, HttpClient},
    table::StoreError,
    vm::Vm,
};

/// Body of the answer to `GET /vms`.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct VmList {
    /// The VMs, in no particular order.
    pub vms: Vec<Vm>,
}

/// The same body with entries that are decoded one by one: one of another writer or version must not
/// hide the others, however long a number in it is or however deep it is nested.
#[derive(Deserialize)]
struct RawVmList<'a> {
    #[serde(borrow)]
    vms: Vec<&'a RawValue>,
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
    client: HttpClient,
}

impl Vms {
    /// Creates a client of the VM list at `base_url` without opening a connection.
    pub async fn new(base_url: &str, cfg: HttpCfg) -> Result<Self, StoreError> {
        let client = HttpClient::new(base_url, cfg).await?;
        Ok(Self { client })
    }

    /// Reads the list, which may lag behind the actual state of the VMs. An entry that can't be decoded
    /// is left out and logged.
    pub async fn list(&self) -> Result<Vec<Vm>, StoreError> {
        let req = self.client.request(Method::GET, "/vms");
        let answer = self.client.call(req, Bytes::new()).await;
        let answer = answer.map_err(CallError::into_read_error)?;
        match answer.status {
            StatusCode::OK => {
                let list: RawVmList<'_> = parse(&answer)?;
                Ok(list.vms.into_iter().filter_map(decode).collect())
            }
            _ => Err(not_done(&answer)),
        }
    }
}

fn decode(entry: &RawValue) -> Option<Vm> {
    let vm = serde_json::from_str(entry.get());
    vm.inspect_err(|e| log::warn!(reason:% = e; "store: malformed entry in the VM list"))
        .ok()
}
