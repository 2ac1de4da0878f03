//! Registration and renewal with an in-memory table.

use base::clock;
use member::{
    membership::{Membership, Renewal},
    rows::{self, MEMBERS_KEY, MemberList, MemberRole},
};
use store::{client::Table, mem::MemTable, table::Txn};

fn membership(id: u64) -> Membership {
    Membership::new(id, "127.0.0.1:7101".parse().unwrap(), MemberRole::Entry)
}

fn listed_ids(mem: &MemTable) -> Vec<u64> {
    let list = MemberList::read(mem.get(MEMBERS_KEY).as_ref()).unwrap();
    list.members.iter().map(|m| m.id).collect()
}

fn table() -> (MemTable, Table) {
    let mem = MemTable::default();
    mem.commit(&Txn::default().put("rev", r#"{"revision":1}"#.into()));
    (mem.clone(), Table::from(mem))
}

/// Guards against a member that serves without being in the list.
#[ntex::test]
async fn the_first_renewal_registers() {
    let (mem, table) = table();
    let (a, b) = (membership(1), membership(2));
    assert_eq!(a.renew(&table, Some(1)).await, Ok(Renewal::Renewed));
    assert_eq!(b.renew(&table, Some(1)).await, Ok(Renewal::Renewed));
    assert_eq!(listed_ids(&mem), [1, 2]);
    assert_eq!(a.renew(&table, Some(1)).await, Ok(Renewal::Confirmed));
}

/// Guards against the confirmation of an outdated revision.
#[ntex::test]
async fn a_newer_revision_prevents_confirmation() {
    let (mem, table) = table();
    let a = membership(1);
    a.renew(&table, None).await.unwrap();
    mem.commit(&Txn::default().put("rev", r#"{"revision":2}"#.into()));
    assert_eq!(a.renew(&table, Some(1)).await, Ok(Renewal::Retry));
    let rev = mem.get("rev").unwrap().version;
    assert_eq!(a.renew(&table, Some(rev)).await, Ok(Renewal::Confirmed));
}

/// Guards against a removed member that continues as if it were still in the list.
#[ntex::test]
async fn a_removed_member_registers_again() {
    let (mem, table) = table();
    let a = membership(1);
    a.renew(&table, None).await.unwrap();
    let empty = rows::to_json(&MemberList::default());
    mem.commit(
        &Txn::default()
            .put(MEMBERS_KEY, empty)
            .delete(rows::member_key(1)),
    );
    assert_eq!(a.renew(&table, Some(1)).await, Ok(Renewal::Retry));
    assert!(!a.is_registered());
    assert_eq!(a.renew(&table, Some(1)).await, Ok(Renewal::Renewed));
    assert_eq!(listed_ids(&mem), [1]);
}

/// Guards against a list that keeps a member after its planned stop.
#[ntex::test]
async fn leaving_removes_the_member() {
    let (mem, table) = table();
    let (a, b) = (membership(1), membership(2));
    a.renew(&table, None).await.unwrap();
    b.renew(&table, None).await.unwrap();
    a.leave(&table).await.unwrap();
    assert_eq!(listed_ids(&mem), [2]);
    assert!(mem.get(&rows::member_key(1)).is_none());
}

/// Guards against a registration that replaces a list with members of a later version by one with
/// only itself, so that changes no longer wait for the others.
#[ntex::test]
async fn an_unreadable_list_is_not_replaced() {
    let (mem, table) = table();
    let later = r#"{"members":[{"id":1,"address":"127.0.0.1:1","role":"of a later version"}]}"#;
    mem.commit(&Txn::default().put(MEMBERS_KEY, later.into()));
    let registered = membership(2).renew(&table, Some(1)).await;
    assert!(registered.is_err(), "{registered:?}");
    let left = membership(3).leave(&table).await;
    assert!(left.is_err(), "{left:?}");
    assert_eq!(mem.get(MEMBERS_KEY).unwrap().value, later);
}

/// Guards against a member that takes its row for newer than it is, because a renewal failed.
#[ntex::test]
async fn only_an_applied_write_counts_as_a_renewal() {
    let (mem, table) = table();
    let a = membership(1);
    assert_eq!(a.renewed_at(), None);
    let before = clock::now();
    a.renew(&table, None).await.unwrap();
    let first = a.renewed_at().unwrap();
    assert!(first >= before && first <= clock::now());
    ntex::time::sleep(ntex::time::Millis(20)).await;
    mem.commit(&Txn::default().delete(rows::member_key(1)));
    assert_eq!(a.renew(&table, None).await, Ok(Renewal::Retry));
    assert_eq!(a.renewed_at(), Some(first));
}
