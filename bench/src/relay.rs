//! The baseline: a handler that passes bytes on, written with the same libraries.

use std::sync::Arc;

use futures_util::TryStreamExt;
use salvo::prelude::*;
use siskinrock_standin::host::Host;

struct Relay {
    client: reqwest::Client,
    upstream: String,
}

/// Starts a relay to one upstream, with a thread and a runtime of its own.
pub fn start(upstream: &str) -> Host {
    let upstream = upstream.to_owned();
    Host::start("127.0.0.1:0", move |_| {
        let client = siskinrock_standin::caller::client();
        let relay = Arc::new(Relay { client, upstream });
        Router::new()
            .hoop(salvo::affix_state::inject(relay))
            .push(Router::with_path("{**path}").goal(pass_on))
    })
}

#[handler]
async fn pass_on(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let relay = Arc::clone(depot.get_typed::<Arc<Relay>>().expect("the relay is injected"));
    let path = req.param::<String>("path").unwrap_or_default();
    let body = req.payload_with_max_size(8 << 20).await.cloned().unwrap_or_default();
    let url = format!("http://{}/{path}", relay.upstream);
    let mut request = relay.client.request(req.method().clone(), url).body(body);
    for name in ["content-type", "idempotency-key"] {
        if let Some(value) = req.headers().get(name) {
            request = request.header(name, value);
        }
    }
    match request.send().await {
        Ok(response) => {
            let status = response.status().as_u16();
            res.status_code(StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY));
            res.stream(response.bytes_stream().map_err(std::io::Error::other));
        }
        Err(_) => drop(res.status_code(StatusCode::BAD_GATEWAY)),
    }
}
