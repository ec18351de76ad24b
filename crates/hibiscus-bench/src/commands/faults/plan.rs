//! The deployments that the cases run on.

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
            tokens: 8_000,
        },
    ],
};

/// All deployments.
pub static PLANS: [&DeploymentPlan; 1] = [&PRAIRIE_SEAM];
