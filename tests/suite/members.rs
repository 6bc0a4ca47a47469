//! Membership: merging of entries, failure detection, and no eviction of healthy members.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use lentilway::process::members::update_queue::UpdateQueue;
use lentilway::process::members::{
    InstanceId, MemberEntry, MemberLiveness, MemberRecord, MemberTable, UpstreamMember,
};
use lentilway_lab::fleet::{Fleet, NodePlan, read_route, ticket};
use lentilway_lab::members::{MemberNode, NodeSetup, eventually, introduce, synthetic_entry};
use lentilway_stand_ins::backend::BackendBehaviour;
use lentilway_stand_ins::log::LogFaults;
use lentilway_stand_ins::relay::PartitionRelay;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rustix::process::Signal;

use crate::processes::{start_backend, start_daemon, start_log, submit_ticket};

/// Long enough that only a wait that never ends fails here or at the test runner's own limit.
const WAIT_LIMIT: Duration = Duration::from_secs(40);

/// A property runner with a fixed seed.
pub fn runner(cases: u32) -> TestRunner {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]))
}

/// Entries that often conflict: few addresses, runs, services and zones.
pub fn entries() -> impl Strategy<Value = Vec<MemberEntry>> {
    let liveness = prop_oneof![
        Just(MemberLiveness::Alive),
        Just(MemberLiveness::Suspect),
        Just(MemberLiveness::Leaving),
        Just(MemberLiveness::Dead),
    ];
    let entry = (0..6u16, 0..3u64, 0..4u64, liveness, 0..4usize, 0..3usize).prop_map(
        |(port, boot, incarnation, liveness, service, zone)| MemberEntry {
            incarnation,
            liveness,
            instance: InstanceId { address: ([127, 0, 0, 1], 7000 + port).into(), boot },
            service: [None, Some("stock"), Some("wallet"), Some("route")][service].map(Arc::from),
            availability_zone: ["az1", "az2", "az3"][zone].into(),
        },
    );
    prop::collection::vec(entry, 0..40)
}

fn merged(entries: &[MemberEntry]) -> MemberTable {
    let table = MemberTable::default();
    entries.iter().for_each(|entry| {
        table.merge(entry.clone());
    });
    table
}

#[gtest]
fn merge_any_order_same_table() {
    let orders = entries().prop_flat_map(|list| (Just(list.clone()), Just(list).prop_shuffle()));
    let run = runner(300).run(&orders, |(list, shuffled)| {
        let table = merged(&list);
        let twice: Vec<MemberEntry> = shuffled.iter().chain(&shuffled).cloned().collect();
        let other = merged(&twice);
        prop_assert_eq!(table.entries(), other.entries());
        prop_assert_eq!(table.digest(), other.digest());
        prop_assert_eq!(table.all_upstreams(), other.all_upstreams());
        prop_assert!(table.differing(&other.digests()).is_empty());
        Ok(())
    });
    assert_that!(run, ok(anything()));
}

#[gtest]
fn merge_monotone() {
    let run = runner(300).run(&entries(), |list| {
        let table = MemberTable::default();
        for entry in list {
            let before = table.entry_at(entry.instance.address);
            let changed = table.merge(entry.clone());
            let after = table.entry_at(entry.instance.address);
            prop_assert!(after >= before);
            prop_assert_eq!(changed, after != before);
        }
        Ok(())
    });
    assert_that!(run, ok(anything()));
}

#[gtest]
fn lookups_agree_with_entries() {
    let run = runner(300).run(&(entries(), any::<bool>()), |(list, cut)| {
        let table = merged(&list);
        table.set_zone_reachable(&"az2".into(), !cut);
        let usable = table
            .entries()
            .into_iter()
            .filter(|entry| entry.is_live() && !(cut && &*entry.availability_zone == "az2"));
        let usable: Vec<UpstreamMember> = usable.filter_map(|entry| entry.upstream()).collect();
        prop_assert_eq!(&table.all_upstreams(), &usable);
        for service in ["stock", "wallet", "route", "none"] {
            let mut seen = table.upstreams(service).to_vec();
            seen.sort_by_key(|member| member.instance);
            let expected = usable.iter().filter(|member| &*member.service == service);
            prop_assert_eq!(seen, expected.cloned().collect::<Vec<_>>());
        }
        let live = table.entries().iter().filter(|entry| entry.is_live()).count();
        prop_assert_eq!(table.live_count(), live);
        Ok(())
    });
    assert_that!(run, ok(anything()));
}

#[gtest]
fn apply_older_run_ignored() {
    let table = MemberTable::default();
    let member = |boot| UpstreamMember {
        instance: InstanceId { address: ([127, 0, 0, 1], 7000).into(), boot },
        service: "stock".into(),
        availability_zone: "az1".into(),
    };
    table.apply(MemberRecord::Join(member(1)));
    table.apply(MemberRecord::Join(member(2)));
    table.apply(MemberRecord::Leave { instance: member(1).instance });
    expect_that!(table.instance_at(member(1).instance.address), some(eq(member(2).instance)));
    expect_that!(table.liveness(member(1).instance), some(eq(MemberLiveness::Dead)));
    table.apply(MemberRecord::Leave { instance: member(2).instance });
    expect_that!(table.upstreams("stock").len(), eq(0));
}

#[gtest]
fn update_queue_departures_first_then_bounded() {
    let mut queue = UpdateQueue::default();
    let live: Vec<MemberEntry> = (0..30).map(|index| synthetic_entry(index, 3, 5)).collect();
    live.iter().for_each(|entry| queue.add(entry.clone()));
    let departed = MemberEntry { liveness: MemberLiveness::Dead, ..synthetic_entry(99, 3, 5) };
    queue.add(departed.clone());
    let first = queue.take(1000);
    expect_that!(first.first(), some(eq(&departed)));
    expect_that!(first.len(), lt(10));
    let mut sends = 0;
    while !queue.is_empty() && sends < 1000 {
        queue.take(1000);
        sends += 1;
    }
    expect_that!(sends, lt(1000));
}

fn zone_nodes(count: usize, zone: &str) -> Vec<NodeSetup> {
    (0..count).map(|_| NodeSetup::new("stock", zone)).collect()
}

fn upstream_count(table: &MemberTable) -> usize {
    table.upstreams("stock").len()
}

#[gtest]
#[tokio::test]
async fn dead_member_detected_in_zone_and_disseminated() -> Result<()> {
    let setups = [zone_nodes(3, "az1"), zone_nodes(2, "az2")].concat();
    let mut nodes = MemberNode::start_all(setups).await?;
    let killed = nodes.remove(0).instance();
    for node in &nodes {
        node.wait_liveness(killed, MemberLiveness::Dead).await;
        expect_that!(upstream_count(node.gossip.table()), eq(4));
    }
    Ok(())
}

/// Nodes behind relays, which can block datagrams between any two of them.
async fn relayed_nodes(zones: &[&str]) -> Result<Vec<(MemberNode, PartitionRelay)>> {
    let mut relays = Vec::new();
    let mut setups = Vec::new();
    for zone in zones {
        let relay = PartitionRelay::start(None).await?;
        setups
            .push(NodeSetup { advertise: Some(relay.address()), ..NodeSetup::new("stock", zone) });
        relays.push(relay);
    }
    let nodes = MemberNode::start_all(setups).await?;
    for (node, relay) in nodes.iter().zip(&relays) {
        relay.set_target(node.socket);
    }
    Ok(nodes.into_iter().zip(relays).collect())
}

#[gtest]
#[tokio::test]
async fn zone_partition_incarnations_unchanged() -> Result<()> {
    let nodes = relayed_nodes(&["az1", "az1", "az2", "az2"]).await?;
    for (index, (_, relay)) in nodes.iter().enumerate() {
        let others = nodes.iter().enumerate().filter(|(other, _)| other / 2 != index / 2);
        others.for_each(|(_, (other, _))| relay.block_sender(other.socket));
    }
    let incarnations =
        || nodes.iter().map(|(node, _)| node.gossip.own().incarnation).collect::<Vec<u64>>();
    let before = incarnations();
    for (index, (node, _)) in nodes.iter().enumerate() {
        let other_zone = ["az2", "az1"][index / 2];
        node.wait(|table| !table.is_zone_reachable(other_zone)).await;
        expect_that!(upstream_count(node.gossip.table()), eq(2));
        expect_that!(node.gossip.table().live_count(), eq(4));
    }
    nodes.iter().for_each(|(_, relay)| relay.unblock_senders());
    for (node, _) in &nodes {
        node.wait(|table| upstream_count(table) == 4).await;
    }
    expect_that!(incarnations(), eq(&before));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn partial_partition_not_evicted() -> Result<()> {
    // Receiver and sender of lost datagrams, in a zone of four where the other paths work.
    let cases: [(&str, &[(usize, usize)]); 3] = [
        ("one direction of a pair", &[(0, 1)]),
        ("both directions of a pair", &[(0, 1), (1, 0)]),
        ("answers to all but one", &[(1, 0), (2, 0)]),
    ];
    for (case, cuts) in cases {
        let nodes = relayed_nodes(&["az1"; 4]).await?;
        cuts.iter().for_each(|(to, from)| nodes[*to].1.block_sender(nodes[*from].0.socket));
        let reached = || nodes[1].0.metrics.counted("member_reached_indirectly") >= 2;
        expect_that!(eventually(WAIT_LIMIT, reached).await, eq(true), "{case}");
        for (node, _) in &nodes {
            expect_that!(upstream_count(node.gossip.table()), eq(4), "{case}");
            let dead = node.gossip.table().dead_in_zone("az1");
            expect_that!(dead, is_empty(), "{case}");
        }
    }
    Ok(())
}

#[gtest]
#[tokio::test]
async fn isolated_node_suspects_nobody_and_returns() -> Result<()> {
    // The node receives nothing, while the others receive its datagrams.
    let nodes = relayed_nodes(&["az1"; 5]).await?;
    nodes[0].1.set_partitioned(true);
    let isolated = nodes[0].0.instance();
    for (node, _) in &nodes[1..] {
        node.wait_liveness(isolated, MemberLiveness::Dead).await;
        expect_that!(upstream_count(node.gossip.table()), eq(4));
    }
    expect_that!(nodes[0].0.metrics.counted("member_suspected"), eq(0));
    nodes[0].1.set_partitioned(false);
    for (node, _) in &nodes[1..] {
        node.wait_liveness(isolated, MemberLiveness::Alive).await;
    }
    Ok(())
}

#[gtest]
#[tokio::test]
async fn address_reused_old_run_superseded() -> Result<()> {
    reuse_address(Duration::ZERO).await
}

#[gtest]
#[tokio::test]
async fn address_reused_clock_an_hour_behind() -> Result<()> {
    reuse_address(Duration::from_secs(3600)).await
}

/// A new run uses the address of an old one whose clock was ahead by `skew`.
async fn reuse_address(skew: Duration) -> Result<()> {
    let mut nodes = MemberNode::start_all(zone_nodes(3, "az1")).await?;
    let old = nodes.remove(0);
    let (old_run, listen) = (old.instance(), old.socket);
    let mut entry = old.gossip.own();
    entry.incarnation += skew.as_millis() as u64;
    nodes.iter().for_each(|node| {
        node.gossip.merge(&entry);
    });
    drop(old);
    let setup = NodeSetup { listen, ..NodeSetup::new("stock", "az1") };
    let new = loop {
        // The task that holds the socket may not have ended yet.
        if let Ok(node) = MemberNode::start(setup.clone()).await {
            break node;
        }
        tokio::task::yield_now().await;
    };
    // The others still probe the old run; the new run answers with its own entry.
    for node in &nodes {
        node.wait(|table| table.instance_at(listen) == Some(new.instance())).await;
        expect_that!(node.gossip.table().liveness(old_run), some(eq(MemberLiveness::Dead)));
    }
    expect_that!(new.metrics.counted("datagram_for_former_instance"), gt(0));
    new.wait(|table| table.live_count() == 3).await;
    Ok(())
}

#[gtest]
#[tokio::test]
async fn missed_gossip_synchronised() -> Result<()> {
    let mut nodes = MemberNode::start_all(zone_nodes(2, "az1")).await?;
    let missed: Vec<MemberEntry> = (0..200).map(|index| synthetic_entry(index, 4, 9)).collect();
    missed.iter().for_each(|entry| {
        nodes[1].gossip.merge(entry);
    });
    let other = nodes[0].differing().await;
    assert_that!(other, some(eq(nodes[1].instance().address)));
    nodes[0].sync(&nodes[1]);
    expect_that!(nodes[0].gossip.table().digest(), eq(nodes[1].gossip.table().digest()));
    expect_that!(nodes[0].gossip.table().live_count(), eq(202));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn peer_with_other_secret_gets_no_entries() -> Result<()> {
    let mut setups = zone_nodes(2, "az1");
    setups.push(NodeSetup {
        secrets: vec![lentilway::config::SecretText::new("another-secret-of-32-bytes-here!")],
        ..NodeSetup::new("stock", "az1")
    });
    let mut nodes = Vec::new();
    for setup in setups {
        nodes.push(MemberNode::start(setup).await?);
    }
    introduce(&nodes[..2]);
    // The node with the other secret has the others' addresses and probes them.
    nodes[2].gossip.merge(&nodes[0].gossip.own());
    let refused = || nodes[0].metrics.counted("peer_refused") >= 3;
    assert_that!(eventually(WAIT_LIMIT, refused).await, eq(true));
    expect_that!(nodes[0].gossip.table().live_count(), eq(2));
    expect_that!(nodes[2].gossip.table().entries().len(), eq(2));
    Ok(())
}

fn stock_plans(zones: &[&str]) -> Vec<NodePlan> {
    zones.iter().map(|zone| NodePlan::new("stock", zone, BackendBehaviour::default())).collect()
}

async fn stock_fleet(zones: &[&str]) -> Result<Fleet> {
    let tickets = [ticket(1, &[open_route()])];
    Ok(Fleet::start(&tickets, &stock_plans(zones), |_| {}).await?)
}

fn open_route() -> serde_json::Value {
    let mut route = read_route("stock-read", "/stock", "stock");
    route["state"]["open"] = serde_json::json!(true);
    route
}

async fn wait_upstreams(fleet: &Fleet, count: usize) {
    for node in &fleet.nodes {
        let members = &node.daemon.shared.members;
        let mut changes = members.subscribe();
        while members.upstreams("stock").len() != count {
            let _ = changes.changed().await;
        }
    }
}

#[gtest]
#[tokio::test]
async fn leaving_backend_leave_lost() -> Result<()> {
    let fleet = stock_fleet(&["az1", "az1", "az2"]).await?;
    // Its announcements stop and its leave message is lost; its health endpoint stays healthy.
    fleet.nodes[0].backend.leave_without_notice();
    assert_that!(fleet.nodes[0].backend.behaviour().healthy, eq(true));
    wait_upstreams(&fleet, 2).await;
    expect_that!(fleet.nodes[0].daemon.shared.metrics.counted("backend_silent"), eq(1));
    fleet.stop().await;
    Ok(())
}

#[gtest]
#[tokio::test]
async fn leaving_backend_announced() -> Result<()> {
    let fleet = stock_fleet(&["az1", "az1", "az2"]).await?;
    fleet.nodes[0].backend.leave().await;
    wait_upstreams(&fleet, 2).await;
    expect_that!(fleet.nodes[0].daemon.shared.metrics.counted("backend_silent"), eq(0));
    fleet.stop().await;
    Ok(())
}

#[gtest]
#[tokio::test]
async fn new_daemon_store_down_syncs_from_seed() -> Result<()> {
    let mut fleet = stock_fleet(&["az1", "az2"]).await?;
    fleet.log.set_faults(LogFaults { down: true, ..LogFaults::default() });
    let seed: SocketAddr = fleet.nodes[0].daemon.addresses.peer;
    let plan = NodePlan::new("stock", "az3", BackendBehaviour::default());
    fleet.add(&plan, |config| config.seed_peers = vec![seed]).await?;
    wait_upstreams(&fleet, 3).await;
    fleet.stop().await;
    Ok(())
}

#[gtest]
#[tokio::test]
async fn new_daemon_expired_records_syncs_from_members() -> Result<()> {
    let mut fleet = stock_fleet(&["az1", "az1", "az2"]).await?;
    // Only the newest record is left; its member has the entries of the others.
    let records = fleet.log.records("members").len() as u64;
    fleet.log.expire("members", records - 1);
    let plan = NodePlan::new("stock", "az3", BackendBehaviour::default());
    fleet.add(&plan, |_| {}).await?;
    wait_upstreams(&fleet, 4).await;
    fleet.stop().await;
    Ok(())
}

#[gtest]
#[tokio::test]
async fn frozen_daemon_evicted_and_readmitted() -> Result<()> {
    let (_log, log) = start_log();
    let (_watcher, watcher) = start_daemon(log, "az1");
    let (suspended, addresses) = start_daemon(log, "az1");
    let _backend = start_backend("stock", addresses.slot, "{}");
    let ticket = ticket(1, &[open_route()]).to_string();
    assert_that!(submit_ticket(watcher.admin, &ticket).status.code(), some(eq(0)));
    crate::processes::wait_members(watcher.admin, 1).await;
    suspended.send(Signal::STOP);
    crate::processes::wait_members(watcher.admin, 0).await;
    suspended.send(Signal::CONT);
    crate::processes::wait_members(watcher.admin, 1).await;
    Ok(())
}

#[gtest]
#[tokio::test]
async fn killed_daemon_evicted() -> Result<()> {
    let (_log, log) = start_log();
    let (_watcher, watcher) = start_daemon(log, "az1");
    let (killed, addresses) = start_daemon(log, "az1");
    let _backend = start_backend("stock", addresses.slot, "{}");
    crate::processes::wait_members(watcher.admin, 1).await;
    drop(killed);
    crate::processes::wait_members(watcher.admin, 0).await;
    Ok(())
}
