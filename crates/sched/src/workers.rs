//! Workers controller: finds workers in the VM list, renews task leases, sends orders and turns
//! reports into events.
//!
//! Renewals need no table write, so they go on while the table is down, also by a holder that can't
//! renew its own lease, until it sees a higher fencing number.

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
    worker_client::WorkerReply,
};

/// Longest pause between two looks at a worker that does not answer.
const IDLE: Millis = Millis(500);

/// Reads the VM list until the leadership ends.
pub(crate) async fn run(cx: &Cx, leader: &Rc<Leader>) {
    let known: Vec<Name> = leader
        .with(|s| s.contacts.keys().cloned().collect())
        .unwrap_or_default();
    for name in known {
        follow(cx, leader, name);
    }
    while leader.is_alive() {
        match cx.vms.list().await {
            Ok(vms) => take_list(cx, leader, vms),
            Err(e) => log::warn!("sched: the VM list is not available, the last one is used: {e}"),
        }
        ctx::sleep(cx.cfg.workers.list_ms).await;
    }
}

fn take_list(cx: &Cx, leader: &Rc<Leader>, vms: Vec<Vm>) {
    leader.with(|s| s.contacts.iter_mut().for_each(|(_, c)| c.listed = false));
    for vm in vms {
        if matches!(vm.role, VmRole::Worker { .. }) {
            take_worker(cx, leader, vm);
        }
    }
}

fn take_worker(cx: &Cx, leader: &Rc<Leader>, vm: Vm) {
    let (mut new, mut event) = (false, None);
    leader.with(|s| {
        new = s.contacts.get(&vm.name).is_none();
        let contact = s.contact(&vm.name);
        contact.listed = true;
        if contact.address != Some(vm.address) {
            // Another machine under the same name knows nothing of the earlier tasks.
            if contact.address.is_some() {
                contact.link.replaced();
            }
            contact.address = Some(vm.address);
            contact.wake.notify_one();
        }
        event = contact.link.listed(vm.state == VmState::Leaving);
    });
    if let Some(event) = event {
        leader.event(cx, event);
    }
    if new {
        follow(cx, leader, vm.name);
    }
}

/// Starts the task that keeps contact with one worker.
fn follow(cx: &Cx, leader: &Rc<Leader>, name: Name) {
    let (cx, leader) = (cx.clone(), leader.clone());
    rt::spawn(async move { contact(&cx, &leader, &name).await }).detach();
}

async fn contact(cx: &Cx, leader: &Rc<Leader>, name: &Name) {
    while leader.is_alive() {
        let Some((due, wake)) = due(leader, name) else {
            return;
        };
        let now = clock::now();
        if due > now {
            pause(&wake, due.since(now).min(IDLE)).await;
        } else {
            exchange(cx, leader, name).await;
        }
        check(cx, leader, name);
    }
}

fn due(leader: &Leader, name: &Name) -> Option<(Millis, Rc<Notify>)> {
    leader.with(|s| {
        let contact = s.contacts.get(name)?;
        let due = contact
            .address
            .map_or(Millis(u64::MAX), |_| contact.link.due());
        Some((due, contact.wake.clone()))
    })?
}

async fn pause(wake: &Notify, span: Millis) {
    tokio::select! {
        () = wake.notified() => {}
        () = ctx::sleep(span) => {}
    }
}

/// Notes silence, and drops a worker that is gone for good.
fn check(cx: &Cx, leader: &Rc<Leader>, name: &Name) {
    let mut event = None;
    leader.with(|s| {
        let Some(contact) = s.contacts.get_mut(name) else {
            return;
        };
        event = contact.link.check(clock::now());
        let gone = !contact.listed && contact.link.is_lost() && contact.link.assigned() == 0;
        if gone {
            s.contacts.remove(name);
        }
    });
    if let Some(event) = event {
        log::warn!("sched: worker {name}: {event:?}");
        leader.event(cx, event);
    }
}

async fn exchange(cx: &Cx, leader: &Rc<Leader>, name: &Name) {
    let asks_info = leader.with(|s| s.contacts.get(name).is_none_or(|c| c.link.needs_info()));
    if asks_info == Some(true) {
        info(cx, leader, name).await;
    } else {
        orders(cx, leader, name).await;
    }
}

async fn info(cx: &Cx, leader: &Rc<Leader>, name: &Name) {
    let Some(Some(addr)) = leader.with(|s| s.contacts.get(name)?.address) else {
        return;
    };
    match cx.worker_client.info(addr).await {
        Ok(info) if info.name == *name => {
            let now = clock::now();
            let event = leader.with(|s| s.contacts.get_mut(name)?.link.informed(now, info));
            if let Some(Some(event)) = event {
                leader.event(cx, event);
            }
        }
        Ok(info) => {
            log::warn!(
                "sched: the worker at {addr} is {} and not {name}",
                info.name
            );
            ctx::sleep(cx.cfg.workers.renew_ms).await;
        }
        Err(reason) => {
            log::debug!("sched: worker {name}: {reason}");
            ctx::sleep(cx.cfg.workers.retry_ms).await;
        }
    }
}

async fn orders(cx: &Cx, leader: &Rc<Leader>, name: &Name) {
    let fence = leader.held.fence;
    let call = leader.with(|s| {
        let contact = s.contacts.get_mut(name)?;
        Some((contact.address?, contact.link.call(clock::now(), fence)))
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
            let events = leader.with(|s| {
                let contact = s.contacts.get_mut(name)?;
                Some(contact.link.answered(now, answer.tasks))
            });
            for event in events.flatten().unwrap_or_default() {
                leader.event(cx, event);
            }
        }
        WorkerReply::Fenced(highest) => {
            cx.lose_lease(&format!("worker {name} has seen fencing number {highest}"));
        }
        WorkerReply::Failed(reason) => {
            log::debug!("sched: worker {name}: {reason}");
            leader.with(|s| {
                if let Some(contact) = s.contacts.get_mut(name) {
                    contact.link.failed();
                }
            });
            ctx::sleep(cx.cfg.workers.retry_ms).await;
        }
    }
}
