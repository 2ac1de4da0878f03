//! Settings of an entry, with all defaults.

use std::net;

use base::{clock::Millis, limits, name::Name};
use serde_json::Value;

use crate::{
    auth::TokenHash,
    fields::{ADDRESS, CfgError, Fields},
};

/// Settings of an entry.
///
/// ```
/// let cfg = entry::entry_cfg::EntryCfg::parse(
///     "{ table: '127.0.0.1:7001', /* VM list */ vm_list: '127.0.0.1:7002' }",
/// );
/// assert_eq!(cfg.unwrap().config_poll.0, 500);
/// ```
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntryCfg {
    /// Address on which callers and operators are served; port 0 takes a free port.
    pub listen: net::SocketAddr,
    /// Address on which other members are served; port 0 takes a free port.
    pub listen_members: net::SocketAddr,
    /// Data centre of this VM.
    pub data_centre: Name,
    /// Address of the table service.
    pub table: net::SocketAddr,
    /// Address of the VM list.
    pub vm_list: net::SocketAddr,
    /// Addresses of the schedulers.
    pub schedulers: Vec<net::SocketAddr>,
    /// Operators who may change the configuration.
    pub operators: Vec<Operator>,
    /// Time between two reads of the configuration revision; each renews the member row, too.
    pub config_poll: Millis,
    /// Age of the last confirmation of the configuration from which this entry stops serving.
    pub config_lease: Millis,
    /// Time between two reads of the VM list.
    pub vm_poll: Millis,
    /// Age of the VM list from which it is read again before a dispatch.
    pub vm_max_age: Millis,
    /// Longest wait for one read from the platform.
    pub platform_timeout: Millis,
    /// Time between two reads of the list of members.
    pub member_poll: Millis,
    /// Number of entries that share the connections of a backend server.
    pub expected_entries: u64,
    /// Longest wait for a connection to a backend server.
    pub connect_timeout: Millis,
    /// Idle time after which a connection to a backend server is not used again.
    pub backend_idle: Millis,
    /// Longest deadline that a caller may ask for.
    pub max_deadline: Millis,
    /// Longest wait for the body of a request.
    pub body_timeout: Millis,
    /// Most bytes of request bodies that are held at the same time.
    pub body_memory: usize,
    /// Most connections of callers and operators.
    pub connections: usize,
    /// Longest wait for a scheduler's decision.
    pub scheduler_timeout: Millis,
    /// Time between the readiness change of a planned stop and the refusal of new requests.
    pub stop_notice: Millis,
}

/// An operator who may change the configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Operator {
    /// Name that is recorded with each change.
    pub name: Name,
    /// Hash of the operator's access token.
    pub token_hash: TokenHash,
}

impl EntryCfg {
    /// Reads settings from JSON text with comments.
    ///
    /// ```
    /// let e = entry::entry_cfg::EntryCfg::parse("{ table: 'x' }").unwrap_err();
    /// assert_eq!(e.path, "table");
    /// ```
    pub fn parse(text: &str) -> Result<Self, CfgError> {
        let value: Value = json5::from_str(text).map_err(|e| CfgError {
            path: "settings".into(),
            found: e.to_string(),
            expected: "JSON with comments".into(),
        })?;
        Self::from_value(value)
    }

    /// Reads settings from a JSON value.
    pub fn from_value(value: Value) -> Result<Self, CfgError> {
        let mut f = Fields::new("", value)?;
        let any_port = net::SocketAddr::from(([127, 0, 0, 1], 0));
        let cfg = Self {
            listen: f.parsed("listen", any_port, ADDRESS)?,
            listen_members: f.parsed("listen_members", any_port, ADDRESS)?,
            data_centre: f.parsed("data_centre", default_data_centre(), "a name")?,
            table: f.required("table", ADDRESS)?,
            vm_list: f.required("vm_list", ADDRESS)?,
            schedulers: f.addresses("schedulers")?,
            operators: operators(&mut f)?,
            config_poll: f.millis("config_poll_ms", Millis(500), 10..=60_000)?,
            config_lease: f.millis("config_lease_ms", Millis(2_000), 100..=60_000)?,
            vm_poll: f.millis("vm_poll_ms", Millis(500), 10..=60_000)?,
            vm_max_age: f.millis("vm_max_age_ms", Millis(1_500), 10..=60_000)?,
            platform_timeout: f.millis("platform_timeout_ms", Millis(1_000), 10..=60_000)?,
            member_poll: f.millis("member_poll_ms", Millis(2_000), 10..=60_000)?,
            expected_entries: f.number("expected_entries", 9, 1..=1_000)?,
            connect_timeout: f.millis("connect_timeout_ms", Millis(500), 10..=60_000)?,
            backend_idle: f.millis("backend_idle_ms", Millis(4_000), 1..=600_000)?,
            max_deadline: f.millis("max_deadline_ms", Millis(60_000), 1..=600_000)?,
            body_timeout: f.millis("body_timeout_ms", Millis(10_000), 10..=600_000)?,
            body_memory: f.number("body_memory_bytes", 64 << 20, 1 << 20..=1 << 32)? as usize,
            connections: f.number("connections", limits::CONNECTIONS as u64, 1..=65_000)? as usize,
            scheduler_timeout: f.millis("scheduler_timeout_ms", Millis(10_000), 10..=600_000)?,
            stop_notice: f.millis("stop_notice_ms", Millis(1_000), 0..=60_000)?,
        };
        f.finish()?;
        Ok(cfg)
    }
}

fn default_data_centre() -> Name {
    "local".parse().expect("a valid name")
}

fn operators(f: &mut Fields) -> Result<Vec<Operator>, CfgError> {
    let items = f.list("operators")?;
    items.into_iter().map(operator).collect()
}

fn operator((path, value): (String, Value)) -> Result<Operator, CfgError> {
    let mut f = Fields::new(path, value)?;
    let operator = Operator {
        name: f.required("name", "a name of a-z, 0-9 and '-'")?,
        token_hash: f.required("token_hash", "64 hexadecimal digits in lower case")?,
    };
    f.finish()?;
    Ok(operator)
}
