//! A complete system on stand-ins in this process, for the demonstration and the benchmarks.

use std::net;

use base::name::Name;
use eyre::WrapErr;
use serde_json::json;
use standin::{backend, backend_cfg, platform, platform_cfg, worker, worker_cfg};
use store::vm::{Vm, VmRole, VmState};

/// Number of processes in the system and their settings.
#[derive(Clone, Debug)]
pub struct SystemCfg {
    /// Number of entries.
    pub entries: usize,
    /// Number of schedulers.
    pub schedulers: usize,
    /// Number of workers.
    pub workers: usize,
    /// Workers in one rack.
    pub rack_size: usize,
    /// Settings of the backend servers.
    pub backends: backend_cfg::BackendCfg,
    /// Service that the backend servers provide.
    pub service: Name,
    /// How workers run their tasks.
    pub behaviour: worker_cfg::Behaviour,
    /// SHA-256 of the operator's access token.
    pub operator_token_hash: String,
}

/// A running system, which stops when it is dropped.
#[derive(Debug)]
pub struct System {
    /// Entries.
    pub entries: Vec<entry::Handle>,
    /// Backend servers.
    pub backends: backend::Handle,
    _schedulers: Vec<sched::Handle>,
    _workers: worker::Handle,
    // Fields are dropped in order of declaration, and the platform must outlive all its users.
    _platform: platform::Handle,
}

impl System {
    /// Starts the platform, the workers, the backend servers, the schedulers and the entries.
    pub fn start(cfg: &SystemCfg) -> eyre::Result<Self> {
        let platform = platform::start(platform_cfg::PlatformCfg::default())?;
        let workers = start_workers(cfg)?;
        let backends = backend::start(cfg.backends.clone())?;
        platform.set_vms(vms(cfg, &workers, &backends)?);
        let schedulers = (0..cfg.schedulers)
            .map(|_| start_scheduler(platform.addr()))
            .collect::<eyre::Result<Vec<_>>>()?;
        let addrs: Vec<net::SocketAddr> = schedulers.iter().map(sched::Handle::addr).collect();
        let entries = (0..cfg.entries)
            .map(|_| start_entry(platform.addr(), &addrs, cfg))
            .collect::<eyre::Result<Vec<_>>>()?;
        Ok(Self {
            entries,
            backends,
            _schedulers: schedulers,
            _workers: workers,
            _platform: platform,
        })
    }
}

fn name(text: &str) -> eyre::Result<Name> {
    text.parse()
        .wrap_err_with(|| format!("invalid name '{text}'"))
}

fn start_workers(cfg: &SystemCfg) -> eyre::Result<worker::Handle> {
    let cfgs = (0..cfg.workers).map(|i| {
        let mut worker = worker_cfg::WorkerCfg::default();
        worker.info.name = name(&format!("worker-{i}"))?;
        worker.info.rack = name(&format!("rack-{}", i / cfg.rack_size))?;
        worker.behaviour = cfg.behaviour.clone();
        Ok(worker)
    });
    let cfgs = cfgs.collect::<eyre::Result<Vec<_>>>()?;
    Ok(worker::start_all(cfgs)?)
}

fn vms(
    cfg: &SystemCfg,
    workers: &worker::Handle,
    backends: &backend::Handle,
) -> eyre::Result<Vec<Vm>> {
    let data_centre = name("dc-1")?;
    let vm = |name, address, role| Vm {
        name,
        address,
        data_centre: data_centre.clone(),
        role,
        state: VmState::Live,
    };
    let mut vms = Vec::new();
    for (i, address) in workers.addrs().iter().enumerate() {
        let rack = name(&format!("rack-{}", i / cfg.rack_size))?;
        vms.push(vm(
            name(&format!("worker-{i}"))?,
            *address,
            VmRole::Worker { rack },
        ));
    }
    for (i, address) in backends.addrs().iter().enumerate() {
        let role = VmRole::Backend {
            service: cfg.service.clone(),
        };
        vms.push(vm(name(&format!("{}-{i}", cfg.service))?, *address, role));
    }
    Ok(vms)
}

fn start_scheduler(platform: net::SocketAddr) -> eyre::Result<sched::Handle> {
    let settings = json!({ "platform": platform }).to_string();
    Ok(sched::start(sched::cfg::read(&settings)?)?)
}

fn start_entry(
    platform: net::SocketAddr,
    schedulers: &[net::SocketAddr],
    cfg: &SystemCfg,
) -> eyre::Result<entry::Handle> {
    let settings = json!({
        "table": platform,
        "vm_list": platform,
        "schedulers": schedulers,
        "expected_entries": cfg.entries,
        "operators": [{ "name": "operator", "token_hash": cfg.operator_token_hash }],
    });
    Ok(entry::start(entry::entry_cfg::EntryCfg::parse(
        &settings.to_string(),
    )?)?)
}
