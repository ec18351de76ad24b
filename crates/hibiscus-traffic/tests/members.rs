//! What an instance does about the others, in fleets of any size.

use std::collections::BTreeSet;

use hibiscus_membership::rings::FULL_MONITORING_LIMIT;
use hibiscus_membership::rings::RING_COUNT;
use hibiscus_traffic::directory::InstanceDirectory;
use hibiscus_traffic::model::InstanceEntry;
use hibiscus_types::IncarnationId;

/// Instances of the larger fleet.
const FLEET: u16 = 62;

fn instance(number: u16, incarnation: u128) -> InstanceEntry {
    let address = |port: u16| std::net::SocketAddr::from(([127, 0, 0, 1], port + number));
    InstanceEntry {
        name: format!("front-{number}").as_str().into(),
        incarnation: IncarnationId::from_u128(incarnation),
        callers: address(8_000),
        readiness: address(9_000),
        peers: address(7_000),
        pin: [u8::try_from(incarnation).expect("small"); 32],
        data_centre: "a".into(),
        capacity: 1_000,
        shutting_down: false,
    }
}

/// The directory of the instance `number` of a fleet of `count`.
fn directory(number: u16, count: u16) -> InstanceDirectory {
    let mut directory = InstanceDirectory::new(instance(number, 1));
    directory.set_ready(true);
    for other in 0..count {
        directory.announce(instance(other, 1));
    }
    directory.tick();
    directory
}

/// Guards against 152 questions a second of each of 62 instances, and as many
/// to each, which their machines cannot afford.
#[test]
fn an_instance_of_a_large_fleet_asks_few_others() {
    let rings = usize::try_from(RING_COUNT).expect("small");
    let mut monitored = BTreeSet::new();
    for number in 0..FLEET {
        let directory = directory(number, FLEET);
        let entries = directory.monitored();
        assert!(entries.len() <= rings, "{}", entries.len());
        monitored.extend(entries.iter().map(|entry| entry.name.clone()));
    }
    assert_eq!(monitored.len(), usize::from(FLEET));
}

/// Guards against a small fleet whose instances wait for others to tell.
#[test]
fn an_instance_of_a_small_fleet_asks_all_others() {
    let count = u16::try_from(FULL_MONITORING_LIMIT + 1).expect("small");
    let mut directory = directory(0, count);
    assert_eq!(directory.monitored().len(), FULL_MONITORING_LIMIT);
    assert_eq!(directory.live_count(), 1);
    directory.note_reachable(&instance(1, 1), true);
    assert_eq!(directory.live_count(), 2);
    assert!(!directory.has_updates());
}

/// Guards against callers that are told of few instances until all were asked.
#[test]
fn instances_of_a_large_fleet_serve_until_a_watcher_says_else() {
    let mut directory = directory(0, FLEET);
    assert_eq!(directory.live_count(), u32::from(FLEET));
    assert_eq!(directory.peer_addresses().len(), usize::from(FLEET) - 1);
    assert_eq!(directory.addresses(None).len(), usize::from(FLEET));
    let monitored = directory.monitored()[0].clone();
    directory.note_reachable(&monitored, true);
    directory.note_reachable(&monitored, false);
    assert_eq!(directory.live_count(), u32::from(FLEET) - 1);
    assert_eq!(directory.possibly_live_count(), u32::from(FLEET));
    assert!(!directory.addresses(None).contains(&monitored.callers));
    assert!(directory.has_updates());
}

/// Guards against a remembered order that outlives the instances it was made
/// of: two keepers of a budget, or none.
#[test]
fn each_subject_has_one_first_instance_after_a_death_and_a_return() {
    let subjects = ["b0", "b1", "b2", "b3", "b4", "b5", "b6", "b7"];
    let count = 5;
    let mut directories: Vec<InstanceDirectory> =
        (0..count).map(|number| directory(number, count)).collect();
    for gone in [None, Some(2), None] {
        for (number, directory) in (0..).zip(&mut directories) {
            for other in (0..count).filter(|other| *other != number) {
                directory.note_reachable(&instance(other, 1), Some(other) != gone);
            }
        }
        for subject in subjects {
            let running = (0..).zip(&directories);
            let running = running.filter(|(number, _directory)| Some(*number) != gone);
            let firsts = running.filter(|(_number, directory)| directory.is_first_for(subject));
            assert_eq!(firsts.count(), 1, "{subject} without {gone:?}");
        }
    }
}

/// Guards against a list of accepted processes that grows with each restart.
#[test]
fn the_pin_of_a_replaced_process_is_handed_out_for_removal() {
    let mut directory = directory(0, 3);
    assert!(directory.take_replaced_pins().is_empty());
    directory.announce(instance(1, 2));
    assert_eq!(directory.take_replaced_pins(), [instance(1, 1).pin]);
    directory.announce(instance(1, 1));
    assert!(directory.take_replaced_pins().is_empty());
    assert!(directory.is_current(&instance(1, 2)));
}
