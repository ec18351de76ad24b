//! Contracts of the interfaces: one table each, which the stand-in and the
//! client pass together. A change of either that breaks the other fails here.

mod list;
mod log;
mod proxy;
mod servers;

/// One row of a table.
struct ContractRow<T> {
    /// What the row shows.
    name: &'static str,
    /// Shows it.
    check: fn(&T),
}

/// Runs every row on an interface of its own.
fn run_table<T>(rows: &[ContractRow<T>], start: fn() -> T) {
    for row in rows {
        eprintln!("row: {}", row.name);
        (row.check)(&start());
    }
}
