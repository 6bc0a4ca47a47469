//! Freshness of the state from contact with the log and with peers, and the relay tree of a zone.

use std::time::Duration;

use googletest::prelude::*;
use lentilway::clock::{MilliClock, MilliTime};
use lentilway::process::members::{InstanceId, UpstreamMember};
use lentilway::version::contact::{ContactTable, ZoneAddress};
use lentilway::version::freshness::{CONTACT_AGE_MAX, ContactEvidence, StateFreshness};
use lentilway::version::zone_tree::{RELAY_FAN_OUT, ZONE_READERS, ZoneTree, relay_depth};

/// One row for each combination of evidence. `docs/OPERATIONS.md` has the same table.
#[test]
fn freshness_each_evidence() -> googletest::Result<()> {
    let recent = Some(CONTACT_AGE_MAX);
    let old = Some(CONTACT_AGE_MAX + Duration::from_millis(1));
    let rows = [
        // State, contact, peer ahead, zones known, zones answering.
        ((false, None, false, 0, 0), StateFreshness::Absent, 2011),
        ((false, recent, false, 3, 3), StateFreshness::Absent, 2011),
        ((true, recent, false, 0, 0), StateFreshness::Confirmed, 1000),
        ((true, recent, true, 3, 0), StateFreshness::Confirmed, 1000),
        ((true, old, false, 3, 3), StateFreshness::LogDown, 1000),
        ((true, None, false, 1, 1), StateFreshness::LogDown, 1000),
        ((true, old, true, 3, 3), StateFreshness::Behind, 2017),
        ((true, old, false, 3, 2), StateFreshness::CutOff, 2017),
        ((true, old, false, 3, 0), StateFreshness::CutOff, 2017),
        ((true, old, false, 0, 0), StateFreshness::CutOff, 2017),
        ((true, None, false, 0, 0), StateFreshness::CutOff, 2017),
    ];
    for (evidence, freshness, code) in rows {
        let (has_state, contact_age, behind_peer, zones_known, zones_answering) = evidence;
        let evidence =
            ContactEvidence { has_state, contact_age, behind_peer, zones_known, zones_answering };
        verify_that!(evidence.freshness(), eq(freshness))?;
        let permitted = freshness.permit().err().map_or(1000, |code| code.number());
        verify_that!(permitted, eq(code))?;
        verify_that!(freshness.permit().is_err_and(|code| !code.is_not_run()), eq(false))?;
    }
    Ok(())
}

fn zone_members(count: u16) -> Vec<UpstreamMember> {
    let member = |index: u16| UpstreamMember {
        instance: InstanceId {
            address: ([10, 0, (index / 250) as u8, (index % 250) as u8], 7402).into(),
            boot: index.into(),
        },
        service: "stock".into(),
        availability_zone: "az1".into(),
    };
    (0..count).map(member).collect()
}

#[test]
fn zone_tree_reaches_each_daemon_once() -> googletest::Result<()> {
    for count in [1, 2, 4, 20, 684] {
        let members = zone_members(count);
        let trees = members.iter().map(|member| ZoneTree::new(&members, member.instance, "az1"));
        let trees: Vec<ZoneTree> = trees.collect();
        let readers = trees.iter().filter(|tree| tree.is_reader()).count();
        verify_that!(readers, eq(ZONE_READERS.min(count.into())))?;
        let mut children: Vec<_> = trees.iter().flat_map(|tree| tree.children()).collect();
        children.sort();
        let total = children.len();
        children.dedup();
        verify_that!(children.len(), eq(total))?;
        verify_that!(total + readers, eq(usize::from(count)))?;
        verify_that!(trees.iter().all(|tree| tree.children().len() <= RELAY_FAN_OUT), eq(true))?;
        let deepest = trees.iter().map(|tree| relay_depth(tree.position())).max();
        verify_that!(deepest, some(le(3)))?;
    }
    Ok(())
}

#[test]
fn contact_zone_removed_in_contact_alone() -> googletest::Result<()> {
    let clock = MilliClock::manual();
    let table = ContactTable::new(clock.clone());
    let zone = |name: &str, port: u16| ZoneAddress {
        zone: name.into(),
        address: ([127, 0, 0, 1], port).into(),
    };
    let (first, second) = (zone("az1", 1), zone("az2", 2));
    let known = || {
        table.remove_dead_zones();
        table.evidence(1).zones_known
    };
    table.confirm(clock.now());
    table.update_zones(&[first.clone(), second.clone()]);
    // The second zone is lost together with the log; the loss of its members is noticed first.
    table.update_zones(std::slice::from_ref(&first));
    clock.advance(Duration::from_secs(3));
    verify_that!(known(), eq(2))?;
    clock.advance(CONTACT_AGE_MAX * 2);
    verify_that!(known(), eq(2))?;
    table.record_answer(&first.zone, first.address, 1);
    verify_that!(table.evidence(1).freshness(), eq(StateFreshness::CutOff))?;
    table.record_answer(&second.zone, second.address, 1);
    verify_that!(table.evidence(1).freshness(), eq(StateFreshness::LogDown))?;
    table.record_answer(&second.zone, second.address, 2);
    verify_that!(table.evidence(1).freshness(), eq(StateFreshness::Behind))?;
    // The zone is lost, and the log is in contact long after that.
    table.update_zones(std::slice::from_ref(&first));
    clock.advance(CONTACT_AGE_MAX * 2);
    table.confirm(clock.now());
    verify_that!(known(), eq(1))?;
    // An older contact that is reported late does not replace a newer one.
    table.confirm(MilliTime(0));
    verify_that!(table.contact_age(), some(eq(Duration::ZERO)))
}

#[test]
fn zone_tree_differing_members_each_daemon_has_parent() -> googletest::Result<()> {
    let all = zone_members(60);
    for missing in 0..all.len() {
        let mut reduced = all.clone();
        reduced.remove(missing);
        // Every second daemon lacks one member; each daemon still has another daemon to pull from.
        for (index, member) in all.iter().enumerate() {
            let view = if index % 2 == 0 { &all } else { &reduced };
            let tree = ZoneTree::new(view, member.instance, "az1");
            let asked = tree.parent().or(tree.neighbour(index));
            verify_that!(asked, some(not(eq(member.instance.address))))?;
            verify_that!(tree.children().len(), le(RELAY_FAN_OUT))?;
        }
    }
    Ok(())
}
