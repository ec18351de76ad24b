//! The deployments that the cases run on.

use std::time::Duration;

/// One team of a deployment.
#[derive(Debug)]
pub struct TeamPlan {
    /// Its API key.
    pub api_key: &'static str,
    /// Its budget.
    pub budget: &'static str,
    /// Tokens of its first top-up.
    pub tokens: u64,
}

/// Settings of one deployment.
#[derive(Debug)]
pub struct DeploymentPlan {
    /// Its name on the command line.
    pub name: &'static str,
    /// Its region.
    pub region: &'static str,
    /// Instances and their data centres.
    pub instances: [(&'static str, &'static str); 7],
    /// The operators' file.
    pub example: &'static str,
    /// Settings of a router, of which limits and budgets are used.
    pub settings: &'static str,
    /// Time after which a caller gives an attempt up; longer than the
    /// settings' wait for allowance.
    pub attempt_timeout: Duration,
    /// The model that callers ask for.
    pub model: &'static str,
    /// The service that answers for the model, and its number of servers.
    pub model_service: (&'static str, usize),
    /// The plain service and its number of servers.
    pub plain_service: (&'static str, usize),
    /// Path of the plain calls that may run again.
    pub repeatable_path: &'static str,
    /// Path of the plain calls that may run at most once.
    pub exclusive_path: &'static str,
    /// Tokens charged for a plain call.
    pub plain_cost: u64,
    /// The teams that call; the last one's budget is too small for its load.
    pub teams: [TeamPlan; 3],
}

/// Prairie Seam Software.
pub static PRAIRIE_SEAM: DeploymentPlan = DeploymentPlan {
    name: "prairie-seam",
    region: "prairie",
    instances: [
        ("router-1", "regina"),
        ("router-2", "regina"),
        ("router-3", "regina"),
        ("router-4", "saskatoon"),
        ("router-5", "saskatoon"),
        ("router-6", "winnipeg"),
        ("router-7", "winnipeg"),
    ],
    example: include_str!("../../../../../examples/prairie-seam.jsonc"),
    settings: include_str!("../../../../../examples/router-prairie-seam.jsonc"),
    attempt_timeout: Duration::from_secs(6),
    model: "stylist",
    model_service: ("stylist-llm", 10),
    plain_service: ("tailorbook", 3),
    repeatable_path: "/tailorbook/sizes",
    exclusive_path: "/tailorbook/alterations",
    plain_cost: 1,
    teams: [
        TeamPlan {
            api_key: "regina-example-key",
            budget: "regina-tokens",
            tokens: 2_000_000,
        },
        TeamPlan {
            api_key: "saskatoon-example-key",
            budget: "saskatoon-tokens",
            tokens: 2_000_000,
        },
        TeamPlan {
            api_key: "winnipeg-example-key",
            budget: "winnipeg-tokens",
            tokens: 4_000,
        },
    ],
};

/// Lone Star Nightsky Imaging.
pub static NIGHTSKY: DeploymentPlan = DeploymentPlan {
    name: "nightsky",
    region: "tx-central",
    instances: [
        ("router-1", "tx-central-1"),
        ("router-2", "tx-central-1"),
        ("router-3", "tx-central-2"),
        ("router-4", "tx-central-2"),
        ("router-5", "tx-central-3"),
        ("router-6", "tx-central-4"),
        ("router-7", "tx-central-4"),
    ],
    example: include_str!("../../../../../examples/nightsky.jsonc"),
    settings: include_str!("../../../../../examples/router-nightsky.jsonc"),
    attempt_timeout: Duration::from_secs(12),
    model: "night-planner",
    model_service: ("plan-models", 20),
    plain_service: ("studio-app", 4),
    repeatable_path: "/studio/gallery",
    exclusive_path: "/studio/prints",
    plain_cost: 1,
    teams: [
        TeamPlan {
            api_key: "hobbyists-example-key",
            budget: "hobbyist-tokens",
            tokens: 2_000_000,
        },
        TeamPlan {
            api_key: "schools-example-key",
            budget: "school-tokens",
            tokens: 2_000_000,
        },
        TeamPlan {
            api_key: "party-example-key",
            budget: "party-tokens",
            tokens: 4_000,
        },
    ],
};

/// All deployments.
pub static PLANS: [&DeploymentPlan; 2] = [&PRAIRIE_SEAM, &NIGHTSKY];
