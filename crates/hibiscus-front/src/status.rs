//! Responds to requests for the readiness, the addresses and the metrics of this
//! instance.

use std::time::Duration;

use hibiscus_traffic::port::CallerAddress;
use hibiscus_traffic::response;
use hibiscus_traffic::response_body::ResponseBody;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use metrics_exporter_prometheus::PrometheusHandle;
use platform::endpoints;
use platform::endpoints::AddressQuery;

use crate::serve::FrontState;

/// Path of the metrics endpoint.
const METRICS_PATH: &str = "/metrics";

/// Responds to a readiness check.
pub(crate) fn readiness_response(
    state: &FrontState,
    request: &Request<Incoming>,
) -> Response<ResponseBody> {
    if request.uri().path() != endpoints::READINESS_PATH {
        return response::status_response(http::StatusCode::NOT_FOUND);
    }
    state.tally.readiness_requests.add();
    if state.directory.borrow().is_ready() {
        response::status_response(http::StatusCode::OK)
    } else {
        response::status_response(http::StatusCode::SERVICE_UNAVAILABLE)
    }
}

/// Responds to a caller with the addresses of the instances to use.
pub(crate) fn addresses_response(
    state: &FrontState,
    request: &Request<Incoming>,
    lifetime: Duration,
) -> Response<ResponseBody> {
    if request.uri().path() != endpoints::RESOLVE_PATH {
        return response::status_response(http::StatusCode::NOT_FOUND);
    }
    let query = AddressQuery::decode(request.uri().query().unwrap_or_default());
    let caller = request.extensions().get::<CallerAddress>();
    let caller = caller.map(|caller| caller.0);
    let host = query.host.unwrap_or_default();
    let addresses = state.addresses_for(&host, &query.data_centre, &query.region, caller);
    let body = endpoints::addresses_body(&addresses, lifetime);
    response::json_response(body)
}

/// Responds to a request for the metrics.
pub(crate) fn metrics_response(
    metrics: &PrometheusHandle,
    request: &Request<Incoming>,
) -> Response<ResponseBody> {
    if request.uri().path() != METRICS_PATH {
        return response::status_response(http::StatusCode::NOT_FOUND);
    }
    response::text_response(metrics.render())
}
