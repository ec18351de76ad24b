//! Resource limits of a process.

use hibiscus_traffic::shares::MemoryShares;

/// Memory and descriptors of the smallest and the largest machines of the grown
/// deployments.
const MACHINES: [(usize, usize); 2] = [(88_000_000, 4_100), (512_000_000, 8_192)];

/// Smallest fraction of a machine's memory that no limit may assign. Pages of
/// the store, the peer link and freed memory have no limit of their own.
const LEAST_RESERVE: f64 = 0.2;

// Guards against limits that each fit the machine but together exceed its
// memory, so that the system kills the process with all its requests.
#[test]
fn all_limits_together_fit_the_memory_of_the_machine() {
    for (memory, descriptors) in MACHINES {
        let bounds = MemoryShares::of_machine(memory, descriptors);
        assert!(
            bounds.max_memory() <= memory,
            "{bounds:?} take {}",
            bounds.max_memory()
        );
        assert!(bounds.reserve as f64 >= memory as f64 * LEAST_RESERVE);
    }
}

// Guards against connections that use up the descriptors, so that neither the
// store nor other instances can be reached.
#[test]
fn connections_leave_descriptors_for_the_store_and_the_instances() {
    for (memory, descriptors) in MACHINES {
        let bounds = MemoryShares::of_machine(memory, descriptors);
        let taken = bounds.callers.connections + bounds.idle_links;
        assert!(taken <= descriptors * 4 / 5, "{bounds:?}");
    }
}

// Guards against limits of zero on a machine with little memory.
#[test]
fn a_machine_with_little_memory_still_serves() {
    let bounds = MemoryShares::of_machine(20_000_000, 1_024);
    assert!(bounds.max_memory() <= 20_000_000);
    assert!(bounds.callers.connections > 50);
    assert!(bounds.callers.body_bytes > 1_000_000);
}

// Guards against more callers than the memory or the descriptors can support.
#[test]
fn callers_are_limited_by_memory_and_by_descriptors() {
    let by_memory = MemoryShares::of_machine(88_000_000, 100_000).callers;
    assert!(by_memory.connections * 24 * 1024 <= 88_000_000 * 35 / 100);
    let by_descriptors = MemoryShares::of_machine(1 << 40, 4_100).callers;
    assert_eq!(by_descriptors.connections, 2_460);
}
