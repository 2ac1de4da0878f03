//! Settings of an entry and their defaults.

use std::net;

use base::{clock::Millis, limits, name::Name};
use serde_json::Value;

use crate::{
    auth::TokenHash,
    settings_reader::{CfgError, EXPECTED_ADDRESS, SettingsReader},
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
    /// Listen address for callers and operators; port 0 selects a free port.
    pub listen: net::SocketAddr,
    /// Listen address for other members; port 0 selects a free port.
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
    /// Interval between reads of the configuration revision, each of which also renews the member
    /// row.
    pub config_poll: Millis,
    /// Maximum age of the last confirmation of the configuration; past it the entry stops serving.
    pub config_lease: Millis,
    /// Interval between reads of the VM list.
    pub vm_poll: Millis,
    /// Maximum age of the VM list at a dispatch; an older list is read again first.
    pub vm_max_age: Millis,
    /// Timeout of one read from the platform.
    pub platform_timeout: Millis,
    /// Interval between reads of the member list.
    pub member_poll: Millis,
    /// Number of entries that share the connections of a backend server.
    pub expected_entries: u64,
    /// Timeout for opening a connection to a backend server.
    pub connect_timeout: Millis,
    /// Idle time after which a connection to a backend server is no longer reused.
    pub backend_idle: Millis,
    /// Maximum deadline that a caller can request.
    pub max_deadline: Millis,
    /// Timeout for receiving the body of a request.
    pub body_timeout: Millis,
    /// Maximum total size in bytes of the request bodies in memory.
    pub body_memory: usize,
    /// Maximum number of connections from callers and operators.
    pub connections: usize,
    /// Timeout for a scheduler's decision.
    pub scheduler_timeout: Millis,
    /// Time for which an entry in a planned stop still accepts requests after it reports not ready.
    pub stop_notice: Millis,
}

/// An operator who may change the configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Operator {
    /// Name that is recorded with each of the operator's changes.
    pub name: Name,
    /// Hash of the operator's access token.
    pub token_hash: TokenHash,
}

impl EntryCfg {
    /// Parses settings from JSON with comments.
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
        let mut f = SettingsReader::new("", value)?;
        let any_port = net::SocketAddr::from(([127, 0, 0, 1], 0));
        let cfg = Self {
            listen: f.parsed("listen", any_port, EXPECTED_ADDRESS)?,
            listen_members: f.parsed("listen_members", any_port, EXPECTED_ADDRESS)?,
            data_centre: f.parsed("data_centre", default_data_centre(), "a name")?,
            table: f.required("table", EXPECTED_ADDRESS)?,
            vm_list: f.required("vm_list", EXPECTED_ADDRESS)?,
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

fn operators(f: &mut SettingsReader) -> Result<Vec<Operator>, CfgError> {
    let items = f.list("operators")?;
    items.into_iter().map(operator).collect()
}

fn operator((path, value): (String, Value)) -> Result<Operator, CfgError> {
    let mut f = SettingsReader::new(path, value)?;
    let operator = Operator {
        name: f.required("name", "a name of a-z, 0-9 and '-'")?,
        token_hash: f.required("token_hash", "64 hexadecimal digits in lower case")?,
    };
    f.finish()?;
    Ok(operator)
}
