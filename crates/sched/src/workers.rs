//! Workers controller: discovers workers in the VM list, renews task leases, sends orders and
//! converts reports to events.
//!
//! Renewals of task leases need no table write, so they continue while the table is down. A holder
//! that can't renew its own lease calls workers only while a majority of its voters confirms it.

use std::rc::Rc;

use base::{
    clock::{self, Millis},
    name::Name,
};
use ntex::rt;
use store::vm::{Vm, VmRole, VmState};
use tokio::sync::Notify;

use crate::{
    ctx::{self, Cx},
    leader::Leader,
    state::State,
    worker_client::WorkerReply,
};

/// Maximum pause between two checks of a worker.
const MAX_PAUSE: Millis = Millis(500);
/// Pause between two checks whether a holder without a valid lease may call workers.
const SUSPENDED_PAUSE: Millis = Millis(200);

/// Contacts all known workers and polls the VM list until the leadership ends.
pub(crate) async fn run(cx: &Cx, leader: &Rc<Leader>) {
    let known: Vec<Name> = leader
        .with_state(|s| s.workers.keys().cloned().collect())
        .unwrap_or_default();
    for name in known {
        spawn_worker_task(cx, leader, name);
    }
    while leader.is_alive() {
        match cx.vms.list().await {
            Ok(vms) => update_workers(cx, leader, vms),
            Err(e) => log::warn!("sched: the VM list is unavailable, using the previous one: {e}"),
        }
        ctx::sleep(cx.cfg.workers.list_ms).await;
    }
}

fn update_workers(cx: &Cx, leader: &Rc<Leader>, vms: Vec<Vm>) {
    leader.with_state(|s| s.workers.iter_mut().for_each(|(_, w)| w.listed = false));
    for vm in vms {
        if matches!(vm.role, VmRole::Worker { .. }) {
            update_worker(cx, leader, vm);
        }
    }
    let event = leader.with_state(State::check_fleet_known).flatten();
    if let Some(event) = event {
        leader.handle_event(cx, event);
    }
}

fn update_worker(cx: &Cx, leader: &Rc<Leader>, vm: Vm) {
    let (mut new, mut event) = (false, None);
    leader.with_state(|s| {
        new = s.workers.get(&vm.name).is_none();
        let worker = s.ensure_worker(&vm.name);
        worker.listed = true;
        if worker.address != Some(vm.address) {
            // A machine with another address does not have the tasks of the earlier one.
            if worker.address.is_some() {
                worker.link.forget_machine();
            }
            worker.address = Some(vm.address);
            worker.wake.notify_one();
        }
        event = worker.link.set_leaving(vm.state == VmState::Leaving);
    });
    if let Some(event) = event {
        leader.handle_event(cx, event);
    }
    if new {
        spawn_worker_task(cx, leader, vm.name);
    }
}

/// Spawns the task that calls one worker.
fn spawn_worker_task(cx: &Cx, leader: &Rc<Leader>, name: Name) {
    let (cx, leader) = (cx.clone(), leader.clone());
    rt::spawn(async move { run_worker(&cx, &leader, &name).await }).detach();
}

async fn run_worker(cx: &Cx, leader: &Rc<Leader>, name: &Name) {
    while leader.is_alive() {
        let Some((due, wake)) = next_call(leader, name) else {
            return;
        };
        let now = clock::now();
        if !cx.may_renew_tasks(leader, now) {
            leader.with_state(|s| s.workers.get_mut(name).map(|w| w.link.on_pause(now)));
            ctx::sleep(SUSPENDED_PAUSE).await;
            continue;
        }
        if due > now {
            pause(&wake, due.since(now).min(MAX_PAUSE)).await;
        } else {
            exchange(cx, leader, name).await;
        }
        check_silence(cx, leader, name);
    }
}

fn next_call(leader: &Leader, name: &Name) -> Option<(Millis, Rc<Notify>)> {
    leader.with_state(|s| {
        let worker = s.workers.get(name)?;
        let due = worker
            .address
            .map_or(Millis(u64::MAX), |_| worker.link.next_call_at());
        Some((due, worker.wake.clone()))
    })?
}

async fn pause(wake: &Notify, span: Millis) {
    tokio::select! {
        () = wake.notified() => {}
        () = ctx::sleep(span) => {}
    }
}

/// Reports a silent worker to the plan, and removes a lost worker that is not listed or assigned.
fn check_silence(cx: &Cx, leader: &Rc<Leader>, name: &Name) {
    let mut event = None;
    leader.with_state(|s| {
        let Some(worker) = s.workers.get_mut(name) else {
            return;
        };
        event = worker.link.check_silence(clock::now());
        let gone = !worker.listed && worker.link.is_lost() && worker.link.assigned_count() == 0;
        if gone {
            s.workers.remove(name);
        }
    });
    if let Some(event) = event {
        log::warn!("sched: worker {name} does not answer: {event:?}");
        leader.handle_event(cx, event);
    }
}

async fn exchange(cx: &Cx, leader: &Rc<Leader>, name: &Name) {
    let needs_info = leader.with_state(|s| s.workers.get(name).is_none_or(|w| w.link.needs_info()));
    if needs_info == Some(true) {
        request_info(cx, leader, name).await;
    } else {
        send_orders(cx, leader, name).await;
    }
}

async fn request_info(cx: &Cx, leader: &Rc<Leader>, name: &Name) {
    let Some(Some(addr)) = leader.with_state(|s| s.workers.get(name)?.address) else {
        return;
    };
    match cx.worker_client.info(addr).await {
        Ok(info) if info.name == *name => {
            let now = clock::now();
            let event = leader.with_state(|s| s.workers.get_mut(name)?.link.on_info(now, info));
            if let Some(Some(event)) = event {
                leader.handle_event(cx, event);
            }
        }
        Ok(info) => {
            log::warn!(
                "sched: expected worker {name} at {addr}, found {}",
                info.name
            );
            ctx::sleep(cx.cfg.workers.renew_ms).await;
        }
        Err(reason) => {
            log::debug!("sched: request for the description of worker {name} failed: {reason}");
            ctx::sleep(cx.cfg.workers.retry_ms).await;
        }
    }
}

async fn send_orders(cx: &Cx, leader: &Rc<Leader>, name: &Name) {
    let fence = leader.held.fence;
    let call = leader.with_state(|s| {
        let worker = s.workers.get_mut(name)?;
        Some((worker.address?, worker.link.start_call(clock::now(), fence)))
    });
    let Some(Some((addr, call))) = call else {
        return;
    };
    let reply = cx.worker_client.orders(addr, &call).await;
    if !leader.is_alive() {
        return;
    }
    match reply {
        WorkerReply::Taken(answer) => {
            let now = clock::now();
            let events = leader.with_state(|s| {
                let worker = s.workers.get_mut(name)?;
                Some(worker.link.on_answer(now, answer.tasks))
            });
            for event in events.flatten().unwrap_or_default() {
                leader.handle_event(cx, event);
            }
        }
        WorkerReply::Fenced(highest) => {
            cx.lose_lease(&format!("worker {name} has seen fencing token {highest}"));
        }
        WorkerReply::Failed(reason) => {
            log::debug!("sched: call to worker {name} failed: {reason}");
            leader.with_state(|s| {
                if let Some(worker) = s.workers.get_mut(name) {
                    worker.link.on_failure();
                }
            });
            ctx::sleep(cx.cfg.workers.retry_ms).await;
        }
    }
}
