//! HTTP client of the administration API, and of single processes.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Method, Request, header};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use percent_encoding::{AsciiSet, CONTROLS, utf8_percent_encode};
use serde_json::Value;

use crate::config::Cli;
use crate::error::CtlError;

/// Characters to percent-encode in a path segment or a query value.
const RESERVED: &AsciiSet = &CONTROLS
    .add(b' ')
    .add(b'"')
    .add(b'%')
    .add(b'/')
    .add(b'?')
    .add(b'#')
    .add(b'&')
    .add(b'=');

/// A request to the administration API or to one process, built step by step and then sent.
#[derive(Debug)]
pub struct Call<'a> {
    method: Method,
    /// Process to call instead of the administration API.
    address: Option<SocketAddr>,
    path: String,
    version: Option<u64>,
    body: Option<&'a Value>,
}

impl<'a> Call<'a> {
    /// Creates a call to the path below `/admin/v1` with these segments, which are percent-encoded here.
    pub fn new(method: Method, segments: &[&str]) -> Self {
        let path = segments.iter().flat_map(|it| ["/".to_owned(), encode(it)]).collect();
        Self {
            method,
            address: None,
            path,
            version: None,
            body: None,
        }
    }

    /// Creates a call to another process than the administration API, without the operator's token.
    pub fn to_process(address: SocketAddr, method: Method, path: &str) -> Self {
        Self {
            method,
            address: Some(address),
            path: path.to_owned(),
            version: None,
            body: None,
        }
    }

    /// Creates a GET call; see [`Call::new`].
    pub fn get(segments: &[&str]) -> Self {
        Self::new(Method::GET, segments)
    }

    /// Adds the query parameters; pairs without a value are omitted. To be called at most once.
    pub fn query(mut self, pairs: &[(&str, Option<&str>)]) -> Self {
        let encoded_pairs = pairs
            .iter()
            .filter_map(|(key, value)| value.map(|value| format!("{key}={}", encode(value))));
        let query: Vec<_> = encoded_pairs.collect();
        if !query.is_empty() {
            self.path = format!("{}?{}", self.path, query.join("&"));
        }
        self
    }

    /// Makes the call conditional on the object's current version.
    pub fn if_match(mut self, version: u64) -> Self {
        self.version = Some(version);
        self
    }

    pub fn body(mut self, body: &'a Value) -> Self {
        self.body = Some(body);
        self
    }

    /// Sends the call on a runtime of its own and returns the JSON answer.
    ///
    /// Any status other than 2xx is returned as `Refused` with the body of the answer.
    pub fn send(self, cli: &Cli) -> Result<Value, CtlError> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        runtime.block_on(self.send_async(cli))
    }

    async fn send_async(self, cli: &Cli) -> Result<Value, CtlError> {
        let uri = match self.address {
            Some(address) => format!("http://{address}{}", self.path),
            None => format!("http://{}/admin/v1{}", cli.admin_addr, self.path),
        };
        let mut req = Request::builder().method(self.method).uri(uri);
        if self.address.is_none() {
            req = req.header(header::AUTHORIZATION, format!("Bearer {}", cli.admin_token));
        }
        if let Some(version) = self.version {
            req = req.header(header::IF_MATCH, format!("\"{version}\""));
        }
        let body = self.body.map(Value::to_string).unwrap_or_default();
        let req = req
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| CtlError::Usage(error.to_string()))?;
        let client = Client::builder(TokioExecutor::new()).build_http();
        let res = client
            .request(req)
            .await
            .map_err(|error| CtlError::Unreachable(error.to_string()))?;
        let status = res.status().as_u16();
        let body = res
            .into_body()
            .collect()
            .await
            .map_err(|error| CtlError::Unreachable(error.to_string()))?;
        let body: Value = serde_json::from_slice(&body.to_bytes())?;
        if (200..300).contains(&status) {
            Ok(body)
        } else {
            Err(CtlError::Refused(status, body))
        }
    }
}

fn encode(text: &str) -> String {
    utf8_percent_encode(text, RESERVED).to_string()
}
