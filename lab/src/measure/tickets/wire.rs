//! Message sizes and the resulting traffic in a large availability zone.

use std::hint::black_box;
use std::time::Instant;

use bytes::Bytes;
use lentilway::connection::peer_message::{FrameKind, PeerFrame, PeerMessage};
use lentilway::process::members::{InstanceId, UpstreamMember};
use lentilway::version::cell::RecordBatch;
use lentilway::version::message::{StateMessage, StateSummary};
use lentilway::version::zone_tree::{
    RELAY_FAN_OUT, STANDBY_READERS, ZONE_READERS, ZoneTree, child_positions, relay_depth,
};

use super::state_cost::organisation_of;
use crate::fleet::ticket;

/// Bytes of a WebSocket frame header with its mask, and of a TLS record's header and tag.
const FRAME_OVERHEAD: usize = 8 + 22;

/// Bytes of a packet's TCP and IP headers.
const PACKET_OVERHEAD: usize = 52;

const TICKETS_PER_SECOND: f64 = 27_000.0 / 86_400.0;
const ZONES: usize = 19;
const REPEATS: u32 = 10;
const ZONE_SIZES: [usize; 4] = [40, 120, 684, 2000];

fn frame_bytes(message: StateMessage) -> usize {
    let from = InstanceId { address: ([10, 100, 100, 100], 7402).into(), boot: u64::MAX };
    let (kind, body) = (FrameKind::Call, PeerMessage::State(message));
    PeerFrame { id: 100_000, kind, from, body }.encode().len() + FRAME_OVERHEAD + PACKET_OVERHEAD
}

struct WireSizes {
    record: usize,
    push: usize,
    pull: usize,
    answer: usize,
}

fn sizes() -> WireSizes {
    let record: Bytes = ticket(20_000, &[organisation_of(500, 100.0)]).to_string().into();
    let records = vec![(1_000_000, record.clone())];
    let summary = StateSummary {
        next_offset: 1_000_000,
        digest_prefix: u64::MAX,
        contact_age_ms: Some(900),
        zone: "region-1-zone-1".into(),
    };
    WireSizes {
        record: record.len(),
        push: frame_bytes(StateMessage::Push { batch: RecordBatch { from: 1_000_000, records } }),
        pull: frame_bytes(StateMessage::Pull { next_offset: 1_000_000 }),
        answer: frame_bytes(StateMessage::Current { summary }),
    }
}

pub(super) fn print_tables() {
    print_zone_order();
    let sizes = sizes();
    println!(
        "messages with frame headers, bytes: ticket's record {}, push {}, pull {}, answer {}",
        sizes.record, sizes.push, sizes.pull, sizes.answer
    );
    println!(
        "| daemons in the zone | depth | role | daemons | pushes out a ticket | bytes/s at 0.31 tickets/s | bytes/s at 10 tickets/s |"
    );
    println!("|---|---|---|---|---|---|---|");
    for size in ZONE_SIZES {
        let depth = relay_depth(size - 1);
        let roles = [
            ("reader", 0..ZONE_READERS),
            ("relay", ZONE_READERS..relays_end(size)),
            ("leaf", relays_end(size)..size),
        ];
        for (role, positions) in roles.into_iter().filter(|(_, positions)| !positions.is_empty()) {
            let busiest = positions.start;
            let children = children(busiest, size);
            let rates = [TICKETS_PER_SECOND, 10.0];
            let [average, busy] = rates.map(|rate| bytes_per_second(&sizes, busiest, size, rate));
            println!(
                "| {size} | {depth} | {role} | {} | {children} | {average:.0} | {busy:.0} |",
                positions.len()
            );
        }
    }
    println!();
}

/// Prints the time to rebuild the zone tree after a membership change.
fn print_zone_order() {
    println!("| members | zones | rebuild, us |");
    println!("|---|---|---|");
    for count in [100, 1000, 13_000] {
        let member = |index: usize| UpstreamMember {
            instance: InstanceId {
                address: ([10, 0, (index / 250) as u8, (index % 250) as u8], 7402).into(),
                boot: index as u64,
            },
            service: "stock".into(),
            availability_zone: format!("zone-{}", index % ZONES).into(),
        };
        let members: Vec<UpstreamMember> = (0..count).map(member).collect();
        let own = members[0].instance;
        let started = Instant::now();
        for _ in 0..REPEATS {
            black_box(ZoneTree::new(&members, own, "zone-0"));
        }
        let micros = started.elapsed().as_secs_f64() * 1e6 / f64::from(REPEATS);
        println!("| {count} | {ZONES} | {micros:.0} |");
    }
    println!();
}

fn children(position: usize, size: usize) -> usize {
    let children = child_positions(position);
    children.end.min(size).saturating_sub(children.start)
}

/// The first position whose daemon has no children.
fn relays_end(size: usize) -> usize {
    let relays = size.saturating_sub(ZONE_READERS).div_ceil(RELAY_FAN_OUT);
    relays.max(ZONE_READERS)
}

/// Bytes per second that a daemon sends and receives: pushes to its children and from its parent,
/// reads of the log, pulls from each child and to the parent, half as many pulls to another zone,
/// and one pull every two seconds from there. Readers and standby readers of the log pull twice a
/// second, the others once.
fn bytes_per_second(sizes: &WireSizes, position: usize, size: usize, rate: f64) -> f64 {
    let children = children(position, size) as f64;
    let parent = if position < ZONE_READERS { 0.0 } else { 1.0 };
    let pushes = (children + parent) * rate * sizes.push as f64;
    let read = (1.0 - parent) * rate * sizes.record as f64 * 4.0 / 3.0;
    let standby = |position: usize| if position < STANDBY_READERS { 2.0 } else { 1.0 };
    let own = standby(position) * 1.5;
    let received: f64 = child_positions(position).take(children as usize).map(standby).sum();
    let pulls = (received + own + 0.5) * (sizes.pull + sizes.answer) as f64;
    pushes + read + pulls
}
