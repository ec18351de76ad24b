//! Fleet views of members that join, leave, pause and are partitioned.

use hibiscus_membership::address;
use hibiscus_membership::view::FleetInstance;
use hibiscus_support::gossip;
use hibiscus_support::gossip::GossipFleet;
use hibiscus_support::gossip::GossipMember;
use hibiscus_types::IncarnationId;

/// Rounds after which every view must have converged.
const CONVERGENCE_ROUNDS: usize = 30;

/// Returns a fleet whose views have converged.
fn converged(count: usize, data_centres: usize) -> GossipFleet {
    let mut fleet = GossipFleet::new(count, data_centres);
    rounds(&mut fleet, CONVERGENCE_ROUNDS);
    assert_eq!(fleet.ready_range(), (count, count));
    fleet
}

/// Advances by `count` rounds without faults.
fn rounds(fleet: &mut GossipFleet, count: usize) {
    for _round in 0..count {
        fleet.round(|_from, _to| true);
    }
}

#[test]
fn all_members_of_small_and_large_fleets_discover_all_others() {
    for (count, data_centres) in [(1, 1), (2, 2), (7, 3), (10, 4), (60, 4), (200, 11)] {
        converged(count, data_centres);
    }
}

#[test]
fn a_joining_member_discovers_all_and_is_discovered_by_all() {
    let mut fleet = converged(40, 4);
    let mut listed: Vec<FleetInstance> = fleet.members[0].view.instances().to_vec();
    let newcomer = gossip::instance(40, 4);
    listed.push(newcomer.clone());
    for member in &mut fleet.members {
        member.view.set_instances(listed.clone());
    }
    fleet.members.push(GossipMember::new(&newcomer, &listed));
    rounds(&mut fleet, CONVERGENCE_ROUNDS);
    assert_eq!(fleet.ready_range(), (41, 41));
}

#[test]
fn a_member_that_leaves_the_list_is_removed() {
    let mut fleet = converged(7, 3);
    let listed: Vec<FleetInstance> = fleet.members[0].view.instances()[..6].to_vec();
    let removed = fleet.members.pop().expect("there are seven");
    for member in &mut fleet.members {
        member.view.set_instances(listed.clone());
    }
    rounds(&mut fleet, 2);
    assert_eq!(fleet.ready_range(), (6, 6));
    for member in &fleet.members {
        assert!(member.view.instance_of(removed.beat.incarnation).is_none());
    }
}

#[test]
fn a_paused_member_is_unresponsive_until_it_sends_again() {
    for (count, data_centres) in [(7, 3), (60, 4)] {
        let mut fleet = converged(count, data_centres);
        fleet.members[3].running = false;
        rounds(&mut fleet, CONVERGENCE_ROUNDS);
        assert_eq!(fleet.ready_range(), (count - 1, count - 1));
        fleet.members[3].running = true;
        rounds(&mut fleet, CONVERGENCE_ROUNDS);
        assert_eq!(fleet.ready_range(), (count, count));
    }
}

#[test]
fn a_member_that_shuts_down_is_not_ready_in_any_view() {
    for (count, data_centres) in [(7, 3), (60, 4)] {
        let mut fleet = converged(count, data_centres);
        fleet.members[1].beat.stopping = true;
        rounds(&mut fleet, CONVERGENCE_ROUNDS);
        assert_eq!(fleet.ready_range(), (count - 1, count - 1));
    }
}

#[test]
fn callers_are_not_directed_to_a_member_without_a_configuration() {
    let mut fleet = converged(7, 3);
    fleet.members[4].beat.configured = false;
    rounds(&mut fleet, CONVERGENCE_ROUNDS);
    assert_eq!(fleet.ready_range(), (7, 7));
    for member in &fleet.members {
        let serving = member.view.serving(fleet.now);
        assert_eq!(serving.len(), 6);
        assert!(
            serving
                .iter()
                .all(|held| held.name != fleet.members[4].beat.name)
        );
    }
}

#[test]
fn a_new_incarnation_at_the_same_address_replaces_the_old_one() {
    for (count, data_centres) in [(7, 3), (60, 4)] {
        let mut fleet = converged(count, data_centres);
        let old = fleet.members[2].beat.clone();
        let listed = fleet.members[0].view.instances().to_vec();
        fleet.members[2] = GossipMember::new(&listed[2], &listed);
        let new = fleet.members[2].beat.incarnation;
        rounds(&mut fleet, CONVERGENCE_ROUNDS);
        for member in &mut fleet.members {
            let held = member.view.instance_of(new).expect("it is known");
            assert_eq!(held.name, old.name);
            assert!(member.view.instance_of(old.incarnation).is_none());
            // A late message of the old incarnation changes nothing.
            member.view.receive_heartbeat(old.clone(), fleet.now);
            assert!(member.view.instance_of(old.incarnation).is_none());
        }
    }
}

#[test]
fn a_new_incarnation_whose_clock_is_behind_replaces_an_unresponsive_one() {
    for (count, data_centres) in [(7, 3), (60, 4)] {
        let mut fleet = converged(count, data_centres);
        let old = fleet.members[2].beat.incarnation;
        let listed = fleet.members[0].view.instances().to_vec();
        fleet.members[2] = GossipMember::new(&listed[2], &listed);
        let new = IncarnationId::from_u128(7);
        assert!(new < old);
        fleet.members[2].beat.incarnation = new;
        rounds(&mut fleet, 2 * CONVERGENCE_ROUNDS);
        assert_eq!(fleet.ready_range(), (count, count));
        for member in &fleet.members {
            assert!(member.view.instance_of(new).is_some());
            assert!(member.view.instance_of(old).is_none());
        }
    }
}

#[test]
fn a_flapping_member_ends_in_its_last_state() {
    let mut fleet = converged(60, 4);
    for turn in 0..6 {
        fleet.members[5].running = turn % 2 == 1;
        rounds(&mut fleet, 5);
    }
    rounds(&mut fleet, CONVERGENCE_ROUNDS);
    assert_eq!(fleet.ready_range(), (60, 60));
}

#[test]
fn one_broken_path_does_not_make_a_member_unresponsive_for_others() {
    let mut fleet = converged(60, 4);
    let neighbour = fleet.members[0]
        .view
        .neighbours()
        .next()
        .expect("it has neighbours")
        .name
        .clone();
    let neighbour_number = (0..60)
        .find(|number| fleet.members[*number].beat.name == neighbour)
        .expect("it is a member");
    let broken =
        |from, to| (from, to) != (0, neighbour_number) && (from, to) != (neighbour_number, 0);
    for _round in 0..CONVERGENCE_ROUNDS {
        fleet.round(broken);
    }
    let seen_by = |number: usize| fleet.members[number].view.ready(fleet.now).len();
    let others: Vec<usize> = (1..60).map(seen_by).collect();
    assert!(others.iter().all(|count| *count == 60), "{others:?}");
}

#[test]
fn two_sides_of_a_partition_see_their_own_side_and_merge_again() {
    let mut fleet = converged(7, 2);
    for _round in 0..CONVERGENCE_ROUNDS {
        fleet.round(|from, to| from % 2 == to % 2);
    }
    assert_eq!(fleet.ready_range(), (3, 4));
    rounds(&mut fleet, CONVERGENCE_ROUNDS);
    assert_eq!(fleet.ready_range(), (7, 7));
}

#[test]
fn members_with_different_lists_still_exchange_updates() {
    let mut fleet = converged(60, 4);
    let all = fleet.members[0].view.instances().to_vec();
    for (number, member) in fleet.members.iter_mut().enumerate() {
        // The list lags: each member lacks a different instance.
        let missing = (number + 7) % 60;
        let mut seen = all.clone();
        seen.remove(missing);
        member.view.set_instances(seen);
    }
    fleet.members[9].beat.stopping = true;
    rounds(&mut fleet, CONVERGENCE_ROUNDS);
    for (number, member) in fleet.members.iter().enumerate() {
        let known = member.view.heartbeat_of(&all[9].name);
        if (number + 7) % 60 == 9 {
            assert_eq!(member.view.ready(fleet.now).len(), 59);
            continue;
        }
        assert!(known.is_some_and(|beat| beat.stopping), "member {number}");
    }
}

#[test]
fn neighbours_and_message_sizes_are_bounded() {
    let mut fleet = converged(200, 11);
    for member in &fleet.members {
        assert!(member.view.neighbours().count() <= 8);
    }
    for member in &mut fleet.members[..100] {
        member.beat.stopping = true;
    }
    let (bytes, messages) = (fleet.bytes, fleet.messages);
    fleet.round(|_from, _to| true);
    let mean = (fleet.bytes - bytes) / (fleet.messages - messages);
    assert!(mean <= 2_000, "{mean} bytes a message");
}

#[test]
fn address_rankings_are_stable_and_place_a_loaded_instance_last() {
    let ready: Vec<FleetInstance> = (0..9).map(|number| gossip::instance(number, 3)).collect();
    let here = ready[0].data_centre.clone();
    let idle = address::rank_addresses_by_load("caller", &here, &ready, |_instance| 0);
    let first = idle.addresses[0];
    let steady = |held: &FleetInstance| u32::from(held.callers == first) * 10;
    let busy = |held: &FleetInstance| u32::from(held.callers == first) * 1_000;
    let same = address::rank_addresses_by_load("caller", &here, &ready, steady);
    assert_eq!(same, idle);
    let other = address::rank_addresses_by_load("caller", &here, &ready, busy);
    assert_ne!(other.addresses[0], first);
    let near: Vec<_> = ready
        .iter()
        .filter(|held| held.data_centre == here)
        .map(|held| held.callers)
        .collect();
    assert!(near.contains(&other.addresses[0]));
    assert_eq!(other.addresses[2], first);
    assert_eq!(other.addresses.len(), 9);
}
