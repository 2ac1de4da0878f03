//! Registration and renewal over a table in memory.

use member::{
    own::{Own, Renewal},
    rows::{self, MEMBERS_KEY, MemberList, MemberRole},
};
use store::{client::Table, mem::MemTable, table::Txn};

fn own(id: u64) -> Own {
    Own::new(id, "127.0.0.1:7101".parse().unwrap(), MemberRole::Entry)
}

fn listed(mem: &MemTable) -> Vec<u64> {
    let list = MemberList::read(mem.get(MEMBERS_KEY).as_ref());
    list.members.iter().map(|m| m.id).collect()
}

fn table() -> (MemTable, Table) {
    let mem = MemTable::default();
    mem.commit(&Txn::default().put("rev", r#"{"revision":1}"#.into()));
    (mem.clone(), Table::from(mem))
}

/// Guards against a member that serves without standing in the list.
#[ntex::test]
async fn the_first_renewal_registers() {
    let (mem, table) = table();
    let (a, b) = (own(1), own(2));
    assert_eq!(a.renew(&table, Some(1)).await, Ok(Renewal::Renewed));
    assert_eq!(b.renew(&table, Some(1)).await, Ok(Renewal::Renewed));
    assert_eq!(listed(&mem), [1, 2]);
    assert_eq!(a.renew(&table, Some(1)).await, Ok(Renewal::Confirmed));
}

/// Guards against a confirmation of an old revision.
#[ntex::test]
async fn a_newer_revision_is_no_confirmation() {
    let (mem, table) = table();
    let a = own(1);
    a.renew(&table, None).await.unwrap();
    mem.commit(&Txn::default().put("rev", r#"{"revision":2}"#.into()));
    assert_eq!(a.renew(&table, Some(1)).await, Ok(Renewal::Again));
    let rev = mem.get("rev").unwrap().version;
    assert_eq!(a.renew(&table, Some(rev)).await, Ok(Renewal::Confirmed));
}

/// Guards against a removed member that goes on as if it were in the list.
#[ntex::test]
async fn a_removed_member_registers_again() {
    let (mem, table) = table();
    let a = own(1);
    a.renew(&table, None).await.unwrap();
    let empty = rows::to_json(&MemberList::default());
    mem.commit(
        &Txn::default()
            .put(MEMBERS_KEY, empty)
            .delete(rows::member_key(1)),
    );
    assert_eq!(a.renew(&table, Some(1)).await, Ok(Renewal::Again));
    assert!(!a.is_registered());
    assert_eq!(a.renew(&table, Some(1)).await, Ok(Renewal::Renewed));
    assert_eq!(listed(&mem), [1]);
}

/// Guards against a list that keeps a member after its planned stop.
#[ntex::test]
async fn leaving_removes_the_member() {
    let (mem, table) = table();
    let (a, b) = (own(1), own(2));
    a.renew(&table, None).await.unwrap();
    b.renew(&table, None).await.unwrap();
    a.leave(&table).await.unwrap();
    assert_eq!(listed(&mem), [2]);
    assert!(mem.get(&rows::member_key(1)).is_none());
}
